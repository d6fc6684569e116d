/* Versions of the settings: docs/design.md, section 2.8.
 *
 * Two daemons write and read the settings log. Entries reach a daemon from the platform or a peer,
 * delayed, repeated and in any order; the platform may return outdated entries. A daemon's version
 * is kept in memory only; a restarted daemon begins without settings.
 */

#ifndef MAX_VERSION
#define MAX_VERSION 3
#endif
#ifndef MAX_FAULTS
#define MAX_FAULTS 3
#endif
#define DAEMONS 2
#define PATHS 2

/* The row settings/log/<version>. */
typedef SettingsEntry {
  byte path;
  byte pathVersion;
  /* Identifies the write; 0 if the row is absent. */
  byte requestId
};

typedef Daemon {
  byte version;
  byte pathVersion[PATHS];
  /* Request id of the entry that is in force at each path. */
  byte value[PATHS]
};

typedef Write {
  bit used;
  byte version;
  byte path;
  byte pathVersion;
  byte requestId
};

SettingsEntry log[MAX_VERSION + 1];
byte head = 0;
Daemon daemon[DAEMONS];
Write write[DAEMONS];
Write delayedWrite[DAEMONS];
/* Version of the pushed entry in transit to each daemon; 0 if there is none. */
byte pushed[DAEMONS];
byte faults = 0;
byte writes = 0;

/* Recorded for the assertions: request id accepted at each version. */
byte accepted[MAX_VERSION + 1];

hidden byte i;
hidden byte k;
hidden byte ok;
hidden Write current;

#define clearWrite(w) w.used = 0; w.version = 0; w.path = 0; w.pathVersion = 0; w.requestId = 0
#define copyWrite(to, from) to.used = from.used; to.version = from.version; to.path = from.path; \
  to.pathVersion = from.pathVersion; to.requestId = from.requestId

inline commitWrite() {
  ok = 1;
#ifndef WITHOUT_SETTINGS_HEAD_CHECK
  if :: head != current.version - 1 -> ok = 0 :: else fi;
#endif
  if
  :: ok ->
     /* G10: an accepted change is never replaced. */
     assert(accepted[current.version] == 0 || accepted[current.version] == current.requestId);
     accepted[current.version] = current.requestId;
     log[current.version].path = current.path;
     log[current.version].pathVersion = current.pathVersion;
     log[current.version].requestId = current.requestId;
     head = current.version
  :: else
  fi;
  clearWrite(current)
}

/* Daemon d receives entry v, and applies it if it is the next version. */
inline offerEntry(d, v) {
  ok = 0;
#ifdef WITHOUT_NEXT_VERSION_RULE
  ok = 1;
#else
  if :: v == daemon[d].version + 1 -> ok = 1 :: else fi;
#endif
  if
  :: ok ->
     /* G10: the version in force never decreases. */
     assert(v > daemon[d].version);
     daemon[d].version = v;
     k = log[v].path;
     /* No change of a path is skipped or applied twice. */
     assert(log[v].pathVersion == daemon[d].pathVersion[k] + 1);
     daemon[d].pathVersion[k] = log[v].pathVersion;
     daemon[d].value[k] = log[v].requestId;
     k = 0
  :: else
  fi;
  ok = 0
}

inline daemonStep(d) {
  if
  /* A write for path 0 or 1, based on the version that the daemon knows. */
  :: d_step { !write[d].used && daemon[d].version < MAX_VERSION && writes < MAX_VERSION ->
     writes++;
     write[d].used = 1; write[d].version = daemon[d].version + 1; write[d].path = 0;
     write[d].pathVersion = daemon[d].pathVersion[0] + 1; write[d].requestId = writes }
  :: d_step { !write[d].used && daemon[d].version < MAX_VERSION && writes < MAX_VERSION ->
     writes++;
     write[d].used = 1; write[d].version = daemon[d].version + 1; write[d].path = 1;
     write[d].pathVersion = daemon[d].pathVersion[1] + 1; write[d].requestId = writes }
  /* Another path was changed in the meantime: the write is retried on the new head. This requires
   * that the write has definitely failed and that the path still has the expected version. */
  :: d_step { write[d].used && head >= write[d].version &&
     log[write[d].version].requestId != write[d].requestId &&
     daemon[d].version >= write[d].version && daemon[d].version < MAX_VERSION &&
     daemon[d].pathVersion[write[d].path] + 1 == write[d].pathVersion ->
     write[d].version = daemon[d].version + 1 }
  /* The path was changed in the meantime: the write fails with VersionConflict. */
  :: d_step { write[d].used && daemon[d].version >= write[d].version &&
     daemon[d].pathVersion[write[d].path] + 1 != write[d].pathVersion -> clearWrite(write[d]) }
  /* Sends the write: answered, response lost, or delayed. */
  :: d_step { write[d].used && head < write[d].version ->
     copyWrite(current, write[d]); commitWrite();
     if :: ok -> clearWrite(write[d]) :: else fi;
     ok = 0 }
  :: d_step { write[d].used && faults < MAX_FAULTS && head < write[d].version ->
     faults++; copyWrite(current, write[d]); commitWrite(); ok = 0 }
  :: d_step { write[d].used && faults < MAX_FAULTS ->
     faults++; copyWrite(delayedWrite[d], write[d]) }
  :: d_step { delayedWrite[d].used ->
     copyWrite(current, delayedWrite[d]); clearWrite(delayedWrite[d]); commitWrite(); ok = 0 }
  /* Reads an entry from the platform, which may return an old one. */
  :: d_step { head >= 1 -> offerEntry(d, 1) }
  :: d_step { head >= 2 -> offerEntry(d, 2) }
  :: d_step { head >= 3 -> offerEntry(d, 3) }
  /* Pushes the newest entry to the peer, where it may be delivered any number of times. */
  :: d_step { daemon[d].version != 0 && pushed[1 - d] != daemon[d].version ->
     pushed[1 - d] = daemon[d].version }
  :: d_step { pushed[d] != 0 -> i = pushed[d]; offerEntry(d, i); i = 0 }
  /* Restart: the settings are read again, starting from the first version. */
  :: d_step { faults < MAX_FAULTS && daemon[d].version != 0 ->
     faults++; daemon[d].version = 0;
     daemon[d].pathVersion[0] = 0; daemon[d].pathVersion[1] = 0;
     daemon[d].value[0] = 0; daemon[d].value[1] = 0; clearWrite(write[d]) }
  fi
}

/* Daemons with the same version have the same settings. */
#define sameSettings (daemon[0].version != daemon[1].version || \
  (daemon[0].value[0] == daemon[1].value[0] && daemon[0].value[1] == daemon[1].value[1]))

active proctype system() {
end:
  do
  :: atomic { daemonStep(0) }
  :: atomic { daemonStep(1) }
  :: d_step { !sameSettings -> assert(false) }
#ifdef WITNESS
  :: d_step { daemon[0].version == MAX_VERSION && daemon[1].version == MAX_VERSION ->
     assert(false) }
#endif
  od
}
