/* Shard ownership, log appends, task starts, leases, eviction and failure domains that are taken
 * out: docs/design.md, sections 2.1 to 2.6. README.md maps the names and lists the abstractions.
 *
 * One process chooses among all enabled steps. A step of a daemon may be delayed without limit,
 * which covers pauses, a slow network and crashes (a crashed daemon takes no further step). Every
 * message and every transaction may be lost, delayed or repeated, and its response may be lost.
 */

#ifndef TASKS
#define TASKS 1
#endif
#ifndef WORKERS
#define WORKERS 2
#endif
#ifndef MAX_SEQUENCE
#define MAX_SEQUENCE 3
#endif
#ifndef MAX_EPOCH
#define MAX_EPOCH 2
#endif
#ifndef MAX_TIME
#define MAX_TIME 6
#endif
#ifndef MAX_BOOTS
#define MAX_BOOTS 0
#endif
#ifndef MAX_DOMAIN
#define MAX_DOMAIN 0
#endif
/* Number of order messages from one holder to one worker. */
#ifndef MAX_ORDERS
#define MAX_ORDERS 2
#endif
/* Number of messages and responses that are delayed, lost or repeated in one execution. */
#ifndef MAX_FAULTS
#define MAX_FAULTS 1
#endif
/* Ticks by which one clock may fall behind the others in one execution. */
#ifndef MAX_LAG
#define MAX_LAG 0
#endif
#ifndef BOTH_WORKERS
#define BOTH_WORKERS 0
#endif
#define DAEMONS 2

/* Durations in ticks, the unit of now and of MAX_TIME. */
#ifndef START_WINDOW
#define START_WINDOW 1
#define LEASE 2
#define OUTAGE_LEASE 3
#define AUTONOMY 3
#endif

#define QUEUED 0
#define PLACED 1
#define FINISHED 2

/* Kinds of log entries. */
#define ABSENT 0
#define TASK_PLACED 1
#define RELEASED_FINISHED 2
#define RELEASED_WAITING 3

typedef LogEntry {
  byte kind;
  byte task;
  byte host;
  byte epoch
};

/* Log append that may still reach the platform, or whose outcome the daemon does not know yet. */
typedef Append {
  byte sequence;
  byte kind;
  byte task;
  byte host;
  byte epoch;
  byte domainVersion
};

typedef Permit {
  bit known;
  bit boot;
  byte issuedAt;
  byte receivedAt
};

typedef WorkerView {
  Permit permit;
  bit epochAcknowledged;
  /* A report shows that the worker has received a lease from this epoch. */
  bit leaseTaken;
  byte leaseBound;
  byte lastSequence;
  /* Sequence of the first orders of this epoch that contained a lease; 0 if there are none. */
  byte firstLease
};

typedef TaskView {
  byte state;
  byte incarnation;
  byte host;
  /* The task was placed by this holder in this epoch, not by a predecessor. */
  bit ownPlacement;
  bit startSent;
  Permit permit;
  byte domainVersion;
  /* Kind of the release entry that is still to be appended because a report shows that the run has
   * ended or never started; ABSENT if there is none. */
  byte pendingRelease
};

typedef Holder {
  byte epoch;
  byte lastSequence;
  byte claimedAt;
  byte ownershipConfirmedAt;
  byte aliveStartedAt;
  bit aliveInFlight;
  byte knownDomainVersion;
  TaskView task[TASKS];
  WorkerView worker[WORKERS];
  bit appendInFlight;
  Append append
};

typedef WorkerOrders {
  bit used;
  byte host;
  byte epoch;
  byte sequence;
  bit permitKnown;
  bit permitBoot;
  byte permitIssuedAt;
  byte lease;
  byte startTask;
  byte startIncarnation;
  byte startDomainVersion;
  byte stop[TASKS];
  byte acknowledged[TASKS]
};

typedef WorkerReport {
  bit used;
  byte host;
  byte epoch;
  byte sequence;
  bit boot;
  byte permitIssuedAt;
  byte running[TASKS];
  byte ended[TASKS];
  byte outcome[TASKS]
};

typedef Worker {
  bit boot;
  byte epoch;
  byte sequence;
  byte leaseEnd;
  byte running[TASKS];
  byte ended[TASKS];
  byte outcome[TASKS]
};

/* Platform. The version of owner/<shard> is the epoch; the version of domain/<name> is the number
 * of its changes. The failure domain is taken out while that version is odd. */
byte ownerEpoch = 1;
byte domainVersion = 0;
byte head = 0;
LogEntry log[MAX_SEQUENCE];

Holder holder[DAEMONS];
Worker worker[WORKERS];

/* Delayed messages, one per daemon and kind. A message that is never delivered is lost. */
Append delayedAppend[DAEMONS];
WorkerOrders delayedOrders[DAEMONS];
WorkerReport delayedReport[DAEMONS];

byte now = 0;
byte boots = 0;
/* Ticks by which a worker's clock and a daemon's clock have fallen behind. */
byte workerLag[WORKERS];
byte daemonLag[DAEMONS];
byte lags = 0;
byte faults = 0;

/* Recorded for the assertions; no step depends on these variables. */
byte domainOutAt = 0;
byte lastStarted[TASKS];
#ifdef WITNESS
byte witness = 0;
#endif

/* Temporary variables within one step; zero between steps. orders is not hidden because sending
 * takes two steps of one atomic sequence, and Spin does not restore hidden variables when it
 * backtracks to the state between them. */
hidden byte i;
hidden byte k;
hidden byte n;
hidden byte ok;
hidden byte stale;
hidden byte placedCount[WORKERS];
hidden byte replayedState[TASKS];
hidden byte replayedHost[TASKS];
hidden byte replayedIncarnation[TASKS];
hidden Append append;
WorkerOrders orders;
hidden WorkerReport report;

/* Each clock is local: clocks start at different values and are never compared with each other. */
#define workerClock(w) (now + 4 + w - workerLag[w])
#define daemonClock(d) (now + 1 + d - daemonLag[d])

#define clearAppend(a) a.sequence = 0; a.kind = 0; a.task = 0; a.host = 0; a.epoch = 0; \
  a.domainVersion = 0
#define copyAppend(to, from) to.sequence = from.sequence; to.kind = from.kind; \
  to.task = from.task; to.host = from.host; to.epoch = from.epoch; \
  to.domainVersion = from.domainVersion
#define clearPermit(p) p.known = 0; p.boot = 0; p.issuedAt = 0; p.receivedAt = 0
#define copyPermit(to, from) to.known = from.known; to.boot = from.boot; \
  to.issuedAt = from.issuedAt; to.receivedAt = from.receivedAt

#define clearTask(t) t.state = QUEUED; t.incarnation = 0; t.host = 0; t.ownPlacement = 0; \
  t.startSent = 0; clearPermit(t.permit); t.domainVersion = 0; t.pendingRelease = ABSENT

inline copyOrders(to, from) {
  to.used = from.used; to.host = from.host; to.epoch = from.epoch; to.sequence = from.sequence;
  to.permitKnown = from.permitKnown; to.permitBoot = from.permitBoot;
  to.permitIssuedAt = from.permitIssuedAt; to.lease = from.lease;
  to.startTask = from.startTask; to.startIncarnation = from.startIncarnation;
  to.startDomainVersion = from.startDomainVersion;
  i = 0;
  do
  :: i < TASKS -> to.stop[i] = from.stop[i]; to.acknowledged[i] = from.acknowledged[i]; i++
  :: else -> break
  od;
  i = 0
}

inline clearOrders(o) {
  o.used = 0; o.host = 0; o.epoch = 0; o.sequence = 0; o.permitKnown = 0; o.permitBoot = 0;
  o.permitIssuedAt = 0; o.lease = 0; o.startTask = 0; o.startIncarnation = 0;
  o.startDomainVersion = 0;
  i = 0;
  do
  :: i < TASKS -> o.stop[i] = 0; o.acknowledged[i] = 0; i++
  :: else -> break
  od;
  i = 0
}

inline copyReport(to, from) {
  to.used = from.used; to.host = from.host; to.epoch = from.epoch; to.sequence = from.sequence;
  to.boot = from.boot; to.permitIssuedAt = from.permitIssuedAt;
  i = 0;
  do
  :: i < TASKS ->
     to.running[i] = from.running[i]; to.ended[i] = from.ended[i];
     to.outcome[i] = from.outcome[i]; i++
  :: else -> break
  od;
  i = 0
}

inline clearReport(r) {
  r.used = 0; r.host = 0; r.epoch = 0; r.sequence = 0; r.boot = 0; r.permitIssuedAt = 0;
  i = 0;
  do
  :: i < TASKS -> r.running[i] = 0; r.ended[i] = 0; r.outcome[i] = 0; i++
  :: else -> break
  od;
  i = 0
}

/* Replays the log up to the head into replayedState, replayedHost and replayedIncarnation. */
inline replayLog() {
  i = 0;
  do
  :: i < TASKS -> replayedState[i] = QUEUED; replayedHost[i] = 0; replayedIncarnation[i] = 0; i++
  :: else -> break
  od;
  i = 0;
  do
  :: i < head ->
     k = log[i].task;
     if
     :: log[i].kind == TASK_PLACED ->
        /* apply() would return InvariantViolated: only a waiting task may be placed. */
        assert(replayedState[k] == QUEUED);
        replayedState[k] = PLACED; replayedHost[k] = log[i].host; replayedIncarnation[k]++
     :: log[i].kind == RELEASED_FINISHED ->
        assert(replayedState[k] == PLACED);
        replayedState[k] = FINISHED; replayedHost[k] = 0
     :: log[i].kind == RELEASED_WAITING ->
        assert(replayedState[k] == PLACED);
        replayedState[k] = QUEUED; replayedHost[k] = 0
     :: else -> assert(false)
     fi;
     i++
  :: else -> break
  od;
  i = 0; k = 0
}

/* The platform executes the transaction in append; sets ok to whether it committed. */
inline commitAppend() {
  ok = 1;
#ifndef WITHOUT_OWNER_CHECK
  if :: append.epoch != ownerEpoch -> ok = 0 :: else fi;
#endif
#ifndef WITHOUT_SEQUENCE_ABSENT_CHECK
  if :: log[append.sequence - 1].kind != ABSENT -> ok = 0 :: else fi;
#endif
#ifndef WITHOUT_DOMAIN_CHECK
  if :: append.kind == TASK_PLACED && append.domainVersion != domainVersion -> ok = 0
  :: else
  fi;
#endif
  if
  :: ok ->
     /* A former owner can no longer append to the log. */
     assert(append.epoch == ownerEpoch);
     n = append.sequence - 1;
     log[n].kind = append.kind; log[n].task = append.task; log[n].host = append.host;
     log[n].epoch = append.epoch;
     n = 0;
     head = append.sequence;
     replayLog();
     /* G1: every host has capacity for one task. */
     do
     :: i < TASKS ->
        if
        :: replayedState[i] == PLACED ->
           placedCount[replayedHost[i]]++;
           assert(placedCount[replayedHost[i]] <= 1)
        :: else
        fi;
        i++
     :: else -> break
     od;
     i = 0;
     do
     :: i < WORKERS -> placedCount[i] = 0; i++
     :: else -> break
     od;
     i = 0
  :: else
  fi
}

inline stepDown(d) {
  holder[d].epoch = 0; holder[d].lastSequence = 0; holder[d].claimedAt = 0;
  holder[d].ownershipConfirmedAt = 0; holder[d].aliveStartedAt = 0; holder[d].aliveInFlight = 0;
  holder[d].knownDomainVersion = 0; holder[d].appendInFlight = 0;
  clearAppend(holder[d].append);
  i = 0;
  do
  :: i < TASKS -> clearTask(holder[d].task[i]); i++
  :: else -> break
  od;
  i = 0;
  do
  :: i < WORKERS ->
     clearPermit(holder[d].worker[i].permit);
     holder[d].worker[i].epochAcknowledged = 0; holder[d].worker[i].leaseTaken = 0;
     holder[d].worker[i].leaseBound = 0; holder[d].worker[i].lastSequence = 0;
     holder[d].worker[i].firstLease = 0;
     i++
  :: else -> break
  od;
  i = 0
}

/* Applies the holder's committed append to its state. */
inline applyAppend(d) {
  k = holder[d].append.task;
  holder[d].lastSequence = holder[d].append.sequence;
  if
  :: holder[d].append.kind == TASK_PLACED ->
     n = holder[d].append.host;
     holder[d].task[k].state = PLACED; holder[d].task[k].host = n;
     holder[d].task[k].incarnation++; holder[d].task[k].ownPlacement = 1;
     holder[d].task[k].domainVersion = holder[d].append.domainVersion
  :: holder[d].append.kind != TASK_PLACED ->
     n = holder[d].task[k].incarnation;
     i = holder[d].append.kind;
     clearTask(holder[d].task[k]);
     holder[d].task[k].incarnation = n;
     if :: i == RELEASED_FINISHED -> holder[d].task[k].state = FINISHED :: else fi
  fi;
  i = 0; k = 0; n = 0;
  holder[d].appendInFlight = 0;
  clearAppend(holder[d].append)
}

/* The holder learns the outcome of its append: committed, or a check failed and the log entry was
 * read back. */
inline answerAppend(d) {
  if
  :: ok -> applyAppend(d)
  :: !ok && head >= holder[d].append.sequence &&
     log[holder[d].append.sequence - 1].epoch == holder[d].epoch ->
     applyAppend(d)
  :: !ok && ownerEpoch == holder[d].epoch &&
     !(head >= holder[d].append.sequence &&
          log[holder[d].append.sequence - 1].epoch == holder[d].epoch) ->
     /* The domain version has changed, so the entry can never commit. */
     k = holder[d].append.task;
     clearPermit(holder[d].task[k].permit);
     k = 0;
     holder[d].appendInFlight = 0;
     clearAppend(holder[d].append)
  :: else -> stepDown(d)
  fi;
  ok = 0
}

/* Ends the run of task i at worker w; its outcome is reported until it is acknowledged. */
#define endRun(w, i, kind) worker[w].ended[i] = worker[w].running[i]; worker[w].running[i] = 0; \
  worker[w].outcome[i] = kind

inline expireLeases(w) {
  i = 0;
  do
  :: i < TASKS ->
     if
     :: worker[w].running[i] != 0 && workerClock(w) >= worker[w].leaseEnd ->
        endRun(w, i, RELEASED_WAITING)
     :: else
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

#ifdef WITHOUT_PERMIT_AGE_CHECK
#define permitFresh(w) (true)
#else
#define permitFresh(w) (workerClock(w) <= orders.permitIssuedAt + START_WINDOW)
#endif
#ifdef WITHOUT_INCARNATION_DEDUPE
#define notEnded(w, t, incarnation) (true)
#else
#define notEnded(w, t, incarnation) (worker[w].ended[t] != incarnation)
#endif

/* Clears the end of the lease if no task runs, because it has no effect then. */
inline clearIdleLease(w) {
  ok = 0;
  do
  :: i < TASKS -> if :: worker[w].running[i] != 0 -> ok = 1 :: else fi; i++
  :: else -> break
  od;
  i = 0;
  if :: !ok -> worker[w].leaseEnd = 0 :: else fi;
  ok = 0
}

/* Worker w carries out the orders and fills in its report. */
inline handleOrders(w) {
  stale = 0;
#ifndef WITHOUT_EPOCH_FENCING
  if :: orders.epoch < worker[w].epoch -> stale = 1 :: else fi;
#endif
  if
  :: orders.epoch == worker[w].epoch && orders.sequence <= worker[w].sequence -> stale = 1
  :: else
  fi;
  if
  :: !stale ->
     worker[w].epoch = orders.epoch; worker[w].sequence = orders.sequence;
     ok = orders.permitKnown;
#ifndef WITHOUT_BOOT_IN_PERMIT
     if :: orders.permitBoot != worker[w].boot -> ok = 0 :: else fi;
#endif
     if
     :: ok && orders.lease != 0 ->
        /* A renewal sets the end of the lease, possibly to an earlier time than before. */
#ifdef WITHOUT_LEASE_FROM_ISSUE
        worker[w].leaseEnd = workerClock(w) + orders.lease;
#else
        worker[w].leaseEnd = orders.permitIssuedAt + orders.lease;
#endif
        expireLeases(w)
     :: else
     fi;
     do
     :: i < TASKS ->
        if
        :: orders.stop[i] != 0 && worker[w].running[i] == orders.stop[i] ->
           endRun(w, i, RELEASED_WAITING)
        :: else
        fi;
        if
        :: worker[w].ended[i] != 0 && worker[w].ended[i] <= orders.acknowledged[i] ->
           worker[w].ended[i] = 0; worker[w].outcome[i] = 0
        :: else
        fi;
        i++
     :: else -> break
     od;
     i = 0;
     k = orders.startTask; n = orders.startIncarnation;
     if
     :: n != 0 && ok && orders.lease != 0 && workerClock(w) < worker[w].leaseEnd &&
        permitFresh(w) && worker[w].running[k] != n && notEnded(w, k, n) ->
        /* G2: the task does not run on any worker. */
        do
        :: i < WORKERS -> assert(worker[i].running[k] == 0); i++
        :: else -> break
        od;
        i = 0;
        /* G3: every incarnation starts at most once, in ascending order. */
        assert(n > lastStarted[k]);
        lastStarted[k] = n;
        /* G4: no start later than the start window after the failure domain was taken out. */
        assert(domainVersion <= orders.startDomainVersion ||
               now <= domainOutAt + START_WINDOW + workerLag[w]);
        /* G1 at the worker: its capacity is one task. */
        do
        :: i < TASKS -> assert(worker[w].running[i] == 0); i++
        :: else -> break
        od;
        i = 0;
#ifdef WITNESS
        if
        :: n >= 2 && worker[w].epoch == MAX_EPOCH -> witness = 1
        :: else
        fi;
#endif
        worker[w].running[k] = n
     :: else
     fi;
     k = 0; n = 0; ok = 0;
     clearIdleLease(w)
  :: else
  fi;
  stale = 0;
  report.used = 1; report.host = w; report.epoch = worker[w].epoch;
  report.sequence = orders.sequence; report.boot = worker[w].boot;
  report.permitIssuedAt = workerClock(w);
  i = 0;
  do
  :: i < TASKS ->
     report.running[i] = worker[w].running[i]; report.ended[i] = worker[w].ended[i];
     report.outcome[i] = worker[w].outcome[i]; i++
  :: else -> break
  od;
  i = 0
}

#ifdef WITHOUT_REPORT_SEQUENCE_CHECK
#define answersLatestOrders(d, w) (true)
#else
#define answersLatestOrders(d, w) (report.sequence == holder[d].worker[w].lastSequence)
#endif

/* Daemon d handles report. */
inline onReport(d) {
  k = report.host;
  if
  :: holder[d].epoch != 0 && report.epoch == holder[d].epoch && answersLatestOrders(d, k) ->
#ifdef WITHOUT_LEASE_TAKEN_CHECK
     if
     :: !holder[d].worker[k].epochAcknowledged ->
        holder[d].worker[k].leaseBound = daemonClock(d) + LEASE
     :: else
     fi;
#endif
     holder[d].worker[k].epochAcknowledged = 1;
     if
     :: holder[d].worker[k].firstLease != 0 &&
        report.sequence >= holder[d].worker[k].firstLease ->
        holder[d].worker[k].leaseTaken = 1
     :: else
     fi;
     holder[d].worker[k].permit.known = 1;
     holder[d].worker[k].permit.boot = report.boot;
     holder[d].worker[k].permit.issuedAt = report.permitIssuedAt;
     holder[d].worker[k].permit.receivedAt = daemonClock(d);
     do
     :: i < TASKS ->
        if
        :: holder[d].task[i].state == PLACED && holder[d].task[i].host == k &&
           holder[d].task[i].pendingRelease == ABSENT ->
           n = holder[d].task[i].incarnation;
           if
           :: report.ended[i] == n -> holder[d].task[i].pendingRelease = report.outcome[i]
           :: report.ended[i] != n && report.running[i] != n &&
              (!holder[d].task[i].ownPlacement || holder[d].task[i].startSent) ->
              /* The worker has restarted, or the start was not carried out and can no longer be. */
              holder[d].task[i].pendingRelease = RELEASED_WAITING
           :: else
           fi;
           n = 0
        :: else
        fi;
        i++
     :: else -> break
     od;
     i = 0
  :: else
  fi;
  k = 0;
  clearReport(report)
}

/* leaseExpired(d, t, w) is true if, by the clock of holder d, all leases of a run of task t on
 * worker w must have ended. ALLOWANCE is the clock drift, in ticks, that the holder allows for. */
#ifdef WITHOUT_DRIFT_ALLOWANCE
#define ALLOWANCE 0
#else
#define ALLOWANCE MAX_LAG
#endif
#define autonomyExpired(d) (daemonClock(d) >= holder[d].claimedAt + AUTONOMY + 2 * ALLOWANCE)
#define ownLeaseExpired(d, w) (daemonClock(d) >= holder[d].worker[w].leaseBound + ALLOWANCE)
#ifdef WITHOUT_AUTONOMY_WAIT
#define leaseExpired(d, t, w) ownLeaseExpired(d, w)
#else
#ifdef WITHOUT_LEASE_TAKEN_CHECK
#define leaseExpired(d, t, w) (ownLeaseExpired(d, w) && \
  (holder[d].task[t].ownPlacement || holder[d].worker[w].epochAcknowledged || autonomyExpired(d)))
#else
#define leaseExpired(d, t, w) (ownLeaseExpired(d, w) && \
  (holder[d].task[t].ownPlacement || holder[d].worker[w].leaseTaken || autonomyExpired(d)))
#endif
#endif

/* Sends holder d's append once: it is delayed, or executed with or without a response. A loss
 * equals a delayed append that is never delivered. */
#define canSend(d) (holder[d].epoch != 0 && holder[d].appendInFlight)

inline sendAppend(d) {
  if
  :: d_step { canSend(d) ->
     copyAppend(append, holder[d].append); commitAppend(); clearAppend(append);
     answerAppend(d) }
  :: d_step { canSend(d) && faults < MAX_FAULTS && head < holder[d].append.sequence ->
     faults++; copyAppend(append, holder[d].append); commitAppend(); clearAppend(append); ok = 0 }
  :: d_step { canSend(d) && faults < MAX_FAULTS ->
     faults++; copyAppend(delayedAppend[d], holder[d].append) }
  fi
}

/* Before a takeover, the holder uses only worker 0; using worker 1 would be symmetric. */
#define mayUse(d, w) (w == 0 || MAX_EPOCH == 1 || holder[d].epoch > 1 || BOTH_WORKERS)

#define waiting(d, t) (holder[d].task[t].state == QUEUED)

inline proposePlacement(d, t, w) {
  d_step {
    holder[d].epoch != 0 && !holder[d].appendInFlight && holder[d].lastSequence < MAX_SEQUENCE &&
    waiting(d, t) && mayUse(d, w) && holder[d].knownDomainVersion % 2 == 0 &&
    holder[d].worker[w].permit.known ->
    do
    :: i < TASKS ->
       if :: holder[d].task[i].state == PLACED && holder[d].task[i].host == w -> n++ :: else fi;
       i++
    :: else -> break
    od;
    i = 0;
    if
    :: n == 0 ->
       holder[d].appendInFlight = 1;
       holder[d].append.sequence = holder[d].lastSequence + 1;
       holder[d].append.kind = TASK_PLACED;
       holder[d].append.task = t; holder[d].append.host = w;
       holder[d].append.epoch = holder[d].epoch;
       holder[d].append.domainVersion = holder[d].knownDomainVersion;
       copyPermit(holder[d].task[t].permit, holder[d].worker[w].permit)
    :: else
    fi;
    n = 0
  }
}

#ifdef WITHOUT_IDENTICAL_RESEND
/* Chooses another host for a sequence number whose append has an unknown outcome. */
inline replaceAppend(d, w) {
  d_step {
    canSend(d) && holder[d].append.kind == TASK_PLACED && holder[d].append.host != w &&
    holder[d].worker[w].permit.known ->
    holder[d].append.host = w;
    k = holder[d].append.task;
    copyPermit(holder[d].task[k].permit, holder[d].worker[w].permit);
    k = 0
  }
}
#endif

inline proposeRelease(d, t) {
  d_step {
    holder[d].epoch != 0 && !holder[d].appendInFlight && holder[d].lastSequence < MAX_SEQUENCE &&
    holder[d].task[t].state == PLACED &&
    (holder[d].task[t].pendingRelease != ABSENT
        /* The start was never sent. */ ||
        (holder[d].task[t].ownPlacement && !holder[d].task[t].startSent) ||
        ((!holder[d].task[t].ownPlacement || holder[d].task[t].startSent) &&
            leaseExpired(d, t, holder[d].task[t].host))) ->
    holder[d].appendInFlight = 1;
    holder[d].append.sequence = holder[d].lastSequence + 1;
    holder[d].append.kind = (holder[d].task[t].pendingRelease != ABSENT
                             -> holder[d].task[t].pendingRelease : RELEASED_WAITING);
    holder[d].append.task = t;
    holder[d].append.epoch = holder[d].epoch
  }
}

/* Fills orders for worker w with a lease (none if leaseTime is 0) and acknowledgements. The caller
 * may add a start or stops. */
inline fillOrders(d, w, leaseTime) {
  holder[d].worker[w].lastSequence++;
  orders.used = 1; orders.host = w; orders.epoch = holder[d].epoch;
  orders.sequence = holder[d].worker[w].lastSequence;
  do
  :: i < TASKS ->
     orders.acknowledged[i] = (holder[d].task[i].state == PLACED
                               -> holder[d].task[i].incarnation - 1
                               : holder[d].task[i].incarnation);
     i++
  :: else -> break
  od;
  i = 0;
  orders.lease = leaseTime
}

/* Records a lease of length leaseTime that begins at the receipt time in n. */
inline recordLease(d, w, leaseTime) {
  if
  :: n + leaseTime > holder[d].worker[w].leaseBound ->
     holder[d].worker[w].leaseBound = n + leaseTime
  :: else
  fi;
  if
  :: holder[d].worker[w].firstLease == 0 ->
     holder[d].worker[w].firstLease = holder[d].worker[w].lastSequence
  :: else
  fi
}

#define mayOrder(d, w) (holder[d].epoch != 0 && mayUse(d, w) && \
  holder[d].worker[w].lastSequence < MAX_ORDERS)
#ifdef WITHOUT_AUTONOMY_BOUND
#define mayGrantLease(d, received, leaseTime) (true)
#else
/* The holder in the last epoch of an execution is never replaced, so its leases need no bound. */
#define mayGrantLease(d, received, leaseTime) \
  (holder[d].epoch == MAX_EPOCH || \
   received + leaseTime <= holder[d].ownershipConfirmedAt + AUTONOMY)
#endif

#define setOrdersPermit(p) orders.permitKnown = 1; orders.permitBoot = p.boot; \
  orders.permitIssuedAt = p.issuedAt

/* First orders to a worker: without a permit, no task is started and no lease renewed. */
inline orderFirstContact(d, w) {
  d_step { mayOrder(d, w) && !holder[d].worker[w].permit.known -> fillOrders(d, w, 0) }
}

inline orderRenewal(d, w, leaseTime, stopping) {
  d_step {
    mayOrder(d, w) && holder[d].worker[w].permit.known &&
    mayGrantLease(d, holder[d].worker[w].permit.receivedAt, leaseTime) ->
    fillOrders(d, w, leaseTime);
    setOrdersPermit(holder[d].worker[w].permit);
    n = holder[d].worker[w].permit.receivedAt;
    recordLease(d, w, leaseTime);
    n = 0;
    if
    :: stopping ->
       do
       :: i < TASKS ->
          if
          :: holder[d].task[i].state == PLACED && holder[d].task[i].host == w ->
             orders.stop[i] = holder[d].task[i].incarnation
          :: else
          fi;
          i++
       :: else -> break
       od;
       i = 0
    :: else
    fi
  }
}

#ifdef WITHOUT_OWN_START_CHECK
/* Sends a start for a placement that the predecessor appended, with the new holder's permit. */
#define maySendStart(d, t) (true)
#define WITHOUT_PERMIT_BEFORE_APPEND
#else
#define maySendStart(d, t) (holder[d].task[t].ownPlacement)
#endif
#ifdef WITHOUT_PERMIT_BEFORE_APPEND
#define startPermit(d, t, w) holder[d].worker[w].permit
#else
#define startPermit(d, t, w) holder[d].task[t].permit
#endif

inline orderStart(d, t, w, leaseTime) {
  d_step {
    mayOrder(d, w) && holder[d].task[t].state == PLACED && holder[d].task[t].host == w &&
    maySendStart(d, t) && holder[d].task[t].pendingRelease == ABSENT && !holder[d].appendInFlight &&
    startPermit(d, t, w).known &&
    mayGrantLease(d, startPermit(d, t, w).receivedAt, leaseTime) ->
    fillOrders(d, w, leaseTime);
    setOrdersPermit(startPermit(d, t, w));
    n = startPermit(d, t, w).receivedAt;
    recordLease(d, w, leaseTime);
    n = 0;
    orders.startTask = t; orders.startIncarnation = holder[d].task[t].incarnation;
    orders.startDomainVersion = holder[d].task[t].domainVersion;
    holder[d].task[t].startSent = 1
  }
}

/* Delivers or delays the orders that were just filled. A loss equals a delayed message that is
 * never delivered. */
inline sendOrders(d) {
  if
  :: d_step { orders.used && faults < MAX_FAULTS ->
     faults++; copyOrders(delayedOrders[d], orders); clearOrders(orders) }
  :: d_step { orders.used ->
     handleOrders(orders.host); clearOrders(orders); onReport(d) }
  :: d_step { orders.used && faults < MAX_FAULTS ->
     faults++; handleOrders(orders.host); clearOrders(orders);
     copyReport(delayedReport[d], report); clearReport(report) }
  fi
}

inline claim(d) {
  d_step {
    ownerEpoch < MAX_EPOCH && holder[d].epoch != ownerEpoch ->
    stepDown(d);
    ownerEpoch++;
    holder[d].epoch = ownerEpoch;
    holder[d].claimedAt = daemonClock(d);
    holder[d].ownershipConfirmedAt = daemonClock(d);
    holder[d].knownDomainVersion = domainVersion;
    holder[d].lastSequence = head;
    replayLog();
    do
    :: i < TASKS ->
       holder[d].task[i].state = replayedState[i]; holder[d].task[i].host = replayedHost[i];
       holder[d].task[i].incarnation = replayedIncarnation[i]; i++
    :: else -> break
    od;
    i = 0
  }
}

inline daemonStep(d) {
  if
  :: claim(d)
  /* The alive write checks the owner row and confirms ownership as of the time when it began. */
  :: d_step { holder[d].epoch != 0 && holder[d].epoch < MAX_EPOCH && !holder[d].aliveInFlight &&
     holder[d].ownershipConfirmedAt < daemonClock(d) ->
     holder[d].aliveInFlight = 1; holder[d].aliveStartedAt = daemonClock(d) }
  :: d_step { holder[d].aliveInFlight ->
     if
#ifdef WITHOUT_ALIVE_OWNER_CHECK
     :: true ->
#else
     :: ownerEpoch == holder[d].epoch ->
#endif
        holder[d].ownershipConfirmedAt = holder[d].aliveStartedAt
     :: else
     fi;
     holder[d].aliveInFlight = 0; holder[d].aliveStartedAt = 0 }
  :: d_step { holder[d].epoch != 0 && holder[d].knownDomainVersion != domainVersion ->
     holder[d].knownDomainVersion = domainVersion }
  :: proposePlacement(d, 0, 0)
#if TASKS > 1
  :: proposePlacement(d, 1, 0)
  :: proposeRelease(d, 1)
  :: orderStart(d, 1, 0, LEASE) -> sendOrders(d)
#endif
  :: proposeRelease(d, 0)
  :: sendAppend(d)
  :: orderFirstContact(d, 0) -> sendOrders(d)
  :: orderRenewal(d, 0, LEASE, 0) -> sendOrders(d)
  :: orderStart(d, 0, 0, LEASE) -> sendOrders(d)
#ifdef OUTAGE
  :: orderRenewal(d, 0, OUTAGE_LEASE, 0) -> sendOrders(d)
  :: orderStart(d, 0, 0, OUTAGE_LEASE) -> sendOrders(d)
#endif
#ifdef EVICTION
  :: orderRenewal(d, 0, LEASE, 1) -> sendOrders(d)
#endif
#if WORKERS > 1
  :: proposePlacement(d, 0, 1)
  :: orderFirstContact(d, 1) -> sendOrders(d)
  :: orderStart(d, 0, 1, LEASE) -> sendOrders(d)
#endif
#ifdef WITHOUT_IDENTICAL_RESEND
  :: replaceAppend(d, 0)
#if WORKERS > 1
  :: replaceAppend(d, 1)
#endif
#endif
  /* Delivers delayed messages; as a fault, the message stays and is delivered again. */
  :: d_step { delayedAppend[d].sequence != 0 ->
     copyAppend(append, delayedAppend[d]); clearAppend(delayedAppend[d]);
     commitAppend(); clearAppend(append); ok = 0 }
  :: d_step { delayedAppend[d].sequence != 0 && faults < MAX_FAULTS ->
     faults++; copyAppend(append, delayedAppend[d]);
     commitAppend(); clearAppend(append); ok = 0 }
  :: d_step { delayedOrders[d].used ->
     copyOrders(orders, delayedOrders[d]); clearOrders(delayedOrders[d]);
     handleOrders(orders.host); clearOrders(orders);
     copyReport(delayedReport[d], report); clearReport(report) }
  :: d_step { delayedOrders[d].used && faults < MAX_FAULTS ->
     faults++; copyOrders(orders, delayedOrders[d]);
     handleOrders(orders.host); clearOrders(orders);
     copyReport(delayedReport[d], report); clearReport(report) }
  :: d_step { delayedReport[d].used ->
     copyReport(report, delayedReport[d]); clearReport(delayedReport[d]); onReport(d) }
  :: d_step { delayedReport[d].used && faults < MAX_FAULTS ->
     faults++; copyReport(report, delayedReport[d]); onReport(d) }
  fi
}

inline workerStep(w) {
  if
#ifdef FINISH
  :: d_step { worker[w].running[0] != 0 -> endRun(w, 0, RELEASED_FINISHED); clearIdleLease(w) }
#if TASKS > 1
  :: d_step { worker[w].running[1] != 0 -> endRun(w, 1, RELEASED_FINISHED); clearIdleLease(w) }
#endif
#endif
  /* A restart stops all tasks, and the worker loses its state. */
  :: d_step { boots < MAX_BOOTS && worker[w].boot == 0 ->
     boots++; worker[w].boot = 1; worker[w].epoch = 0; worker[w].sequence = 0;
     worker[w].leaseEnd = 0;
     do
     :: i < TASKS ->
        worker[w].running[i] = 0; worker[w].ended[i] = 0; worker[w].outcome[i] = 0; i++
     :: else -> break
     od;
     i = 0 }
  fi
}

/* Advances the time. Workers stop runs whose lease has expired in the same step, the only one that
 * must not be delayed. */
inline tick() {
  now++;
  n = 0;
  do
  :: n < WORKERS -> expireLeases(n); clearIdleLease(n); n++
  :: else -> break
  od;
  n = 0
}

active proctype system() {
  d_step {
  holder[0].epoch = 1;
  holder[0].claimedAt = daemonClock(0);
  holder[0].ownershipConfirmedAt = daemonClock(0);
  /* The first holder has already received reports from the workers. */
  i = 0;
  do
  :: i < WORKERS ->
     holder[0].worker[i].epochAcknowledged = 1;
     holder[0].worker[i].permit.known = 1;
     holder[0].worker[i].permit.issuedAt = workerClock(i);
     holder[0].worker[i].permit.receivedAt = daemonClock(0);
     worker[i].epoch = 1;
     i++
  :: else -> break
  od;
  i = 0
  }
end:
  do
  :: atomic { daemonStep(0) }
  :: atomic { daemonStep(1) }
  :: atomic { workerStep(0) }
#if WORKERS > 1
  :: atomic { workerStep(1) }
#endif
  :: d_step { now < MAX_TIME -> tick() }
#if MAX_LAG > 0
  :: d_step { now < MAX_TIME && lags < MAX_LAG -> lags++; workerLag[0]++; tick() }
  :: d_step { now < MAX_TIME && lags < MAX_LAG -> lags++; daemonLag[0]++; tick() }
#endif
  :: d_step { domainVersion < MAX_DOMAIN ->
     domainVersion++;
     if :: domainVersion == 1 -> domainOutAt = now :: else fi }
#ifdef WITNESS
  :: d_step { witness -> assert(false) }
#endif
  od
}
