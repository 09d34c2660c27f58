/* Model of idempotency keys with resends, crashes, pauses and handover.
 *
 * One key, its issuer (node 0) and two possible successors (1 and 2). Callers
 * make several attempts, which may arrive late at any node. The request must
 * run at most once. When an attempt is answered as not run, the request must
 * not have run until then, and that attempt must never run.
 */
// safeguards: 10

#ifndef NO_SAFEGUARD
#define NO_SAFEGUARD 0
#endif

/* 1: a key is marked as started before its request is forwarded.
 * 2: a frozen issuer does not answer.
 * 3: a successor answers only if the row names it.
 * 4: the row is written only after the successor has received the table.
 * 5: the row is written at most once: the write requires that it is absent.
 * 6: a restarted issuer has a new incarnation and runs no earlier key.
 * 7: the row names the successor's incarnation.
 * 8: an expired key is never started.
 * 9: an expired key is answered as not run only if it was never started.
 * 10: a run that has not ended is handed over with an unknown outcome.
 */
#define HAS(n) (NO_SAFEGUARD != n)

#define ATTEMPTS 3
#define NOBODY 3

#define UNUSED 0
#define RUNNING 1
#define ENDED 2

#define SERVING 0
#define FROZEN 1
#define WRITING 2
#define DONE 3
#define RESTARTED 4

/* Observed runs, and answers that an attempt has not run. */
byte runs;
bool ran[ATTEMPTS];
bool answered_not_run[ATTEMPTS];
bool sent[ATTEMPTS];

/* The issuer. */
byte issuer = SERVING;
byte successor = NOBODY;
bool confirmed;
bool started;
bool expired;
bool row_in_flight;
byte row_value = NOBODY;

/* The tables of the nodes. `known[i]`: node i may answer from its table. */
byte entry[3];
bool staged[3];
bool known[3];
bool restarted[3];

/* The table service. */
byte row = NOBODY;
bool row_restarted;
bool row_incarnation;

/* Each node has at most one run in progress. */
bool in_progress[3];
byte run_attempt[3];
bool executed[3];

inline answer_not_run(a)
{
    answered_not_run[a] = true;
    assert(runs == 0)
}

inline start(i, a)
{
    if
    :: in_progress[i] -> skip
    :: else ->
        in_progress[i] = true;
        run_attempt[i] = a;
        executed[i] = false;
        if
        :: HAS(1) -> entry[i] = RUNNING
        :: else
        fi;
        if
        :: i == 0 && HAS(1) -> started = true
        :: else
        fi
    fi
}

/* An attempt arrives at a node that may answer for the key. */
inline arrive(i, a)
{
    if
    :: entry[i] != UNUSED -> skip /* waits, or gets the stored outcome */
    :: entry[i] == UNUSED && expired && HAS(8) ->
        if
        :: (i == 0 && !started) || !HAS(9) -> answer_not_run(a)
        :: else /* the outcome is unknown */
        fi
    :: else -> start(i, a)
    fi
}

inline execute(i)
{
    runs++;
    executed[i] = true;
    ran[run_attempt[i]] = true;
    assert(runs <= 1);
    assert(!answered_not_run[run_attempt[i]])
}

inline finish(i)
{
    if
    :: executed[i] ->
        entry[i] = ENDED;
        if
        :: i == 0 -> started = true
        :: else
        fi
    :: else ->
        entry[i] = UNUSED;
        if
        :: i == 0 -> started = false
        :: else
        fi;
        answer_not_run(run_attempt[i])
    fi;
    in_progress[i] = false;
    executed[i] = false;
    run_attempt[i] = 0
}

inline stage(s)
{
    staged[s] = true;
    entry[s] = (entry[0] == RUNNING && !HAS(10) -> UNUSED : entry[0]);
    if
    :: entry[s] == RUNNING -> entry[s] = ENDED
    :: else
    fi
}

inline restart_node(i)
{
    entry[i] = UNUSED;
    staged[i] = false;
    known[i] = false;
    in_progress[i] = false;
    executed[i] = false;
    run_attempt[i] = 0;
    restarted[i] = true
}

#define ANSWERS0 (issuer == SERVING || (issuer == FROZEN && !HAS(2)) || \
    (issuer == RESTARTED && !HAS(6)))

inline node_step(i)
{
    if
    :: in_progress[i] && !executed[i] -> execute(i)
    :: in_progress[i] -> finish(i)
    :: i != 0 && !restarted[i] -> restart_node(i)
    :: i != 0 && !known[i] && row == i &&
       (!HAS(7) || row_incarnation == restarted[i]) && (staged[i] || !HAS(4) ||
       (!HAS(7) && restarted[i])) -> known[i] = true
    :: i != 0 && !known[i] && staged[i] && !HAS(3) -> known[i] = true
    fi
}

inline issuer_step()
{
    if
    :: issuer == SERVING && !expired -> expired = true
    :: issuer == SERVING && expired && entry[0] == ENDED ->
        entry[0] = UNUSED /* the entry is removed; `started` remains */
    :: issuer <= FROZEN && successor != 1 ->
        issuer = FROZEN; successor = 1; confirmed = false
    :: issuer <= FROZEN && successor != 2 ->
        issuer = FROZEN; successor = 2; confirmed = false
    :: issuer == FROZEN && !staged[successor] && !known[successor] ->
        stage(successor)
    :: issuer == FROZEN && staged[successor] -> confirmed = true
    :: issuer == FROZEN && (confirmed || !HAS(4)) ->
        issuer = (HAS(5) -> WRITING : FROZEN);
        row_in_flight = true; row_value = successor;
        row_restarted = restarted[successor]
    :: row_in_flight && (row == NOBODY || !HAS(5)) ->
        row = row_value; row_incarnation = row_restarted; row_in_flight = false
    :: row_in_flight -> row_in_flight = false
    :: issuer == WRITING && row != NOBODY -> issuer = DONE
    :: issuer != RESTARTED -> issuer = RESTARTED; restart_node(0)
    fi
}

active proctype system()
{
    byte a;
end:
    do
    :: atomic { node_step(0) }
    :: atomic { node_step(1) }
    :: atomic { node_step(2) }
    :: atomic { issuer_step() }
    :: atomic {
        select(a : 0 .. 2);
        if
        :: !sent[a] && ANSWERS0 -> sent[a] = true; arrive(0, a)
        :: !sent[a] && known[1] -> sent[a] = true; arrive(1, a)
        :: !sent[a] && known[2] -> sent[a] = true; arrive(2, a)
        :: !sent[a] -> sent[a] = true /* lost, or the outcome is unknown */
        :: else
        fi;
        a = 0
    }
    od
}
