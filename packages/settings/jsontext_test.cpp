#include "settings/jsontext.h"

#include <doctest/doctest.h>

using namespace acaciadeal;

TEST_CASE("comments are removed and keys are sorted")
{
    const auto text = normalizeJson("// head\n{\"b\": 1, /* inner */ \"a\": [true, null]}\n// end");
    REQUIRE(text.has_value());
    CHECK(*text == R"({"a":[true,null],"b":1})");
}

// Guards against a syntax error that an operator cannot locate in the file.
TEST_CASE("a syntax error has the line and column")
{
    const auto text = normalizeJson("{\n  \"a\": 1,\n  \"b\" 2\n}");
    REQUIRE_FALSE(text.has_value());
    CHECK(text.error().code == ResultCode::SyntaxError);
    CHECK(text.error().where == "line 3, column 7");
    CHECK(normalizeJson("").error().where == "line 1, column 1");
    CHECK(normalizeJson("{\"a\":1e999}").error().code == ResultCode::SyntaxError);
}

// Guards against one of two equal keys being dropped silently.
TEST_CASE("a duplicate key is reported with its path")
{
    const auto text = normalizeJson(R"({"a":{"x":1,"y":[{"z":1,"z":2}]}})");
    REQUIRE_FALSE(text.has_value());
    CHECK(text.error().code == ResultCode::DuplicateKey);
    CHECK(text.error().where == "/a/y/z");
    CHECK(normalizeJson(R"({"a":{"x":1},"b":{"x":1}})").has_value());
}

// Guards against nested JSON that overflows the stack of code that processes it recursively.
TEST_CASE("nesting beyond the maximum depth is rejected")
{
    CHECK(normalizeJson(std::string(32, '[') + std::string(32, ']')).has_value());
    const auto text = normalizeJson(std::string(33, '[') + std::string(33, ']'));
    REQUIRE_FALSE(text.has_value());
    CHECK(text.error().code == ResultCode::SyntaxError);
}
