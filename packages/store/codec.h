#ifndef ACACIADEAL_STORE_CODEC_H
#define ACACIADEAL_STORE_CODEC_H

#include "store/platform.h"

namespace acaciadeal {

// JSON encoding for the platform's HTTP interface. Row values are base64, because log entries are
// binary.
// Decoding errors: PlatformProtocol. All functions are thread-safe.

std::string encodeTransaction(const Transaction &transaction);
Result<Transaction> decodeTransaction(const std::string &text);

std::string encodeVersions(const CommitVersions &versions);
Result<CommitVersions> decodeVersions(const std::string &text);

std::string encodeQuery(const RowQuery &query);
Result<RowQuery> decodeQuery(const std::string &text);

std::string encodeRows(const std::vector<Row> &rows);
Result<std::vector<Row>> decodeRows(const std::string &text);

std::string encodeHosts(const std::vector<HostRecord> &hosts);
Result<std::vector<HostRecord>> decodeHosts(const std::string &text);

std::string encodeBase64(std::string_view bytes);
Result<std::string> decodeBase64(std::string_view text);

} // namespace acaciadeal

#endif
