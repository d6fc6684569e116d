/* Handling of a single non-repeatable request with one request id: docs/design.md, section 2.7.
 *
 * Two daemons handle the caller's attempts, which may overlap. Every write may be lost, delayed or
 * repeated, its response may be lost, and a daemon may stop permanently at any step or lose its
 * state in a restart.
 */

#ifndef MAX_ATTEMPTS
#define MAX_ATTEMPTS 3
#endif
#ifndef MAX_FAULTS
#define MAX_FAULTS 3
#endif
#define DAEMONS 2

/* States of the row request/<id>. */
#define ABSENT 0
#define STARTED 1
#define DONE 2
#define NOT_RUN 3

/* Steps of a daemon while it handles one attempt. */
#define IDLE 0
#define RECORDING 1
#define RECORDED 2
#define HANDED_OVER 3
#define ANSWERED 4
#define REFUSED 5

typedef Write {
  bit used;
  byte state;
  /* Row version that the transaction requires; 0 requires the row to be absent. */
  byte version;
  byte attempt
};

typedef Daemon {
  byte step;
  byte attempt;
  byte version;
  Write write
};

byte rowState = ABSENT;
byte rowVersion = 0;
byte rowAttempt = 0;

Daemon daemon[DAEMONS];
Write delayed[DAEMONS];

byte attempts = 0;
byte faults = 0;

/* Recorded for the assertions. */
byte executions = 0;
bit executed[MAX_ATTEMPTS + 1];
bit reportedNotRun[MAX_ATTEMPTS + 1];
/* Attempts that reached an instance and may run there, even after their daemon has stopped. */
bit atInstance[MAX_ATTEMPTS + 1];

hidden byte ok;
hidden Write current;

#define clearWrite(w) w.used = 0; w.state = 0; w.version = 0; w.attempt = 0
#define copyWrite(to, from) to.used = from.used; to.state = from.state; \
  to.version = from.version; to.attempt = from.attempt
#define clearDaemon(d) daemon[d].step = IDLE; daemon[d].attempt = 0; daemon[d].version = 0; \
  clearWrite(daemon[d].write)

#ifdef WITHOUT_ROW_VERSION_CHECK
#define checkPasses (current.version == 0 -> rowState == ABSENT : true)
#else
#ifdef WITHOUT_RECORD_ABSENT_CHECK
#define checkPasses (current.version == 0 -> true : rowVersion == current.version)
#else
#define checkPasses (current.version == 0 -> rowState == ABSENT : rowVersion == current.version)
#endif
#endif

/* The platform executes the transaction in current; sets ok to whether it committed. */
inline commitWrite() {
  ok = 0;
  if
  :: checkPasses ->
     rowState = current.state; rowAttempt = current.attempt; rowVersion++; ok = 1
  :: else
  fi;
  clearWrite(current)
}

/* Prepares a write of the row's new state that requires the expected row version. */
inline prepareWrite(d, newState, expected) {
  daemon[d].write.used = 1; daemon[d].write.state = newState;
  daemon[d].write.version = expected; daemon[d].write.attempt = daemon[d].attempt
}

/* The daemon learns the outcome of its write: committed, or a check failed and the row was read
 * back. The attempt number serves as the transaction id. */
inline answerWrite(d) {
  if
  :: !ok && rowState == daemon[d].write.state && rowAttempt == daemon[d].write.attempt -> ok = 1
  :: else
  fi;
  if
  :: daemon[d].step == RECORDING && ok ->
     daemon[d].step = RECORDED; daemon[d].version = rowVersion; clearWrite(daemon[d].write)
  :: daemon[d].step == RECORDING && !ok ->
     /* The caller gets the stored answer or OutcomeUnknown. A row in state NOT_RUN can be claimed
      * by another attempt. */
     clearDaemon(d)
  :: else -> clearDaemon(d)
  fi;
  ok = 0
}

inline execute(a) {
  /* G7: at most one execution. */
  executions++;
  assert(executions == 1);
  /* G6: the caller was not told that this attempt did not run. */
  assert(!reportedNotRun[a]);
  executed[a] = 1; atInstance[a] = 0
}

inline reportNotRun(d) {
  reportedNotRun[daemon[d].attempt] = 1;
  assert(!executed[daemon[d].attempt])
}

inline daemonStep(d) {
  if
  /* The caller's first attempt or a retry. */
  :: d_step { daemon[d].step == IDLE && attempts < MAX_ATTEMPTS && rowState == ABSENT ->
     attempts++; daemon[d].attempt = attempts; daemon[d].step = RECORDING;
#ifdef WITHOUT_REQUEST_RECORD
     /* Hands the request over first and records it afterwards. */
     daemon[d].step = RECORDED
#else
     prepareWrite(d, STARTED, 0)
#endif
     }
  :: d_step { daemon[d].step == IDLE && attempts < MAX_ATTEMPTS && rowState == NOT_RUN ->
     attempts++; daemon[d].attempt = attempts; daemon[d].step = RECORDING;
     prepareWrite(d, STARTED, rowVersion) }
  /* Sends the write: answered, response lost, or delayed. In the last two cases, the same write is
   * sent again. */
  :: d_step { daemon[d].write.used ->
     copyWrite(current, daemon[d].write); commitWrite(); answerWrite(d) }
  :: d_step { daemon[d].write.used && faults < MAX_FAULTS ->
     faults++; copyWrite(current, daemon[d].write); commitWrite(); ok = 0 }
  :: d_step { daemon[d].write.used && faults < MAX_FAULTS ->
     faults++; copyWrite(delayed[d], daemon[d].write) }
  :: d_step { delayed[d].used ->
     copyWrite(current, delayed[d]); commitWrite(); clearWrite(delayed[d]); ok = 0 }
  :: d_step { delayed[d].used && faults < MAX_FAULTS ->
     faults++; copyWrite(current, delayed[d]); commitWrite(); ok = 0 }
  /* Hands the request over to the instance: it was sent, or the connection was refused before the
   * first byte. */
  :: d_step { daemon[d].step == RECORDED ->
     daemon[d].step = HANDED_OVER; atInstance[daemon[d].attempt] = 1 }
  :: d_step { daemon[d].step == RECORDED ->
     daemon[d].step = REFUSED; reportNotRun(d); prepareWrite(d, NOT_RUN, daemon[d].version) }
  :: d_step { daemon[d].step == HANDED_OVER && executed[daemon[d].attempt] ->
     daemon[d].step = ANSWERED; prepareWrite(d, DONE, daemon[d].version) }
#ifdef WITHOUT_HANDED_OVER_CHECK
  /* Treats a connection that broke after the hand-over as not run. */
  :: d_step { daemon[d].step == HANDED_OVER ->
     daemon[d].step = REFUSED; reportNotRun(d); prepareWrite(d, NOT_RUN, daemon[d].version) }
#endif
  /* Status 503 with x-not-run: the instance did not run the request and never will. */
  :: d_step { daemon[d].step == HANDED_OVER && atInstance[daemon[d].attempt] ->
     atInstance[daemon[d].attempt] = 0; daemon[d].step = REFUSED; reportNotRun(d);
     prepareWrite(d, NOT_RUN, daemon[d].version) }
  /* Restart: the daemon loses all state; the row and messages in transit remain. */
  :: d_step { daemon[d].step != IDLE && faults < MAX_FAULTS -> faults++; clearDaemon(d) }
  fi
}

active proctype system() {
end:
  do
  :: atomic { daemonStep(0) }
  :: atomic { daemonStep(1) }
  :: d_step { atInstance[1] -> execute(1) }
  :: d_step { atInstance[2] -> execute(2) }
  :: d_step { atInstance[3] -> execute(3) }
  /* A row in state DONE requires that its attempt was executed, NOT_RUN that it was not. */
  :: d_step { rowState == DONE && !executed[rowAttempt] -> assert(false) }
  :: d_step { rowState == NOT_RUN && executed[rowAttempt] -> assert(false) }
#ifdef WITNESS
  :: d_step { executions == 1 && attempts > 1 && rowState == DONE -> assert(false) }
#endif
  od
}
