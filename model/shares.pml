/* Model of share transfer, loans and lease takeover between two instances.
 *
 * The plan has one share of one unit. Instance 0 holds it, renews its lease,
 * lends from it, releases it and claims it again. Instance 1 borrows, claims
 * and takes over; its lease does not expire. What an instance may spend at
 * the moment is its usable share and its loans; the sum over both instances
 * must never exceed the plan. An instance that is paused or has crashed takes
 * no steps. Writes to the table may be lost, arrive late, or be applied while
 * their answer is lost.
 */
// safeguards: 11

#ifndef NO_SAFEGUARD
#define NO_SAFEGUARD 0
#endif

/* 1: a decrease is applied locally before it is written.
 * 2: an increase is applied only after it has been read from the table.
 * 3: the lease is checked at each use.
 * 4: a takeover waits until the lease has lapsed.
 * 5: a takeover is conditional on the version of the holder's instance row.
 * 6: after a lapse shares must be claimed again.
 * 7: a decrease stays applied while its write may still arrive.
 * 8: a loan counts against the lender until it has expired.
 * 9: a loan expires no later than the lender's lease.
 * 10: the duration of a loan starts before its request is sent.
 * 11: a decrease is written only after the loans that exceed it have expired.
 */
#define HAS(n) (NO_SAFEGUARD != n)

#define PLAN 1
#define LEASE 2
#define LOAN 2
#define LAST_TICK 3
#define LAST_VERSION 4
#define LAST_ROW 1

#define FREE 0
#define SENT 1
#define DONE 2
#define FAILED 3

byte tick;

/* The table. */
byte version = 1;
byte amount[2];
byte entry_epoch[2];
byte row[2];

/* The instances. */
byte lease_end[2];
byte epoch[2];
byte view_version[2];
byte view_own[2];
byte view_epoch[2];
byte view_other[2];
byte read_row[2];
byte read_at[2];
bool bounded[2];
byte bound[2];
byte bound_version[2];

/* Ledger writes of instance i: slot 2 * i holds the pending write, slot
 * 2 * i + 1 one that has timed out and may still arrive. */
byte state[4];
bool takeover[4];
byte expected[4];
byte expected_row[4];
byte value[4];
byte value_epoch[4];

/* Renewals. */
byte renewal[2];
byte renewal_sent[2];

/* Loans, as recorded by the lender and by the borrower. */
bool lent[2];
byte lent_end[2];
byte borrow_state[2];
byte borrow_sent_at[2];
bool loan[2];
byte loan_end[2];

byte usable;
byte potential;
byte sum;
byte slot;

inline compute_usable(i)
{
    usable = view_own[i];
    if
    :: bounded[i] && bound[i] < usable -> usable = bound[i]
    :: else
    fi;
    if
    :: HAS(6) && view_epoch[i] != epoch[i] -> usable = 0
    :: else
    fi;
    if
    :: HAS(3) && tick >= lease_end[i] -> usable = 0
    :: else
    fi;
    if
    :: lent[i] && tick < lent_end[i] && usable > 0 -> usable--
    :: else
    fi
}

/* Resets state that no longer matters to 0 to reduce the state space. */
inline reset_expired()
{
    if
    :: lent[0] && tick >= lent_end[0] -> lent[0] = false; lent_end[0] = 0
    :: else
    fi;
    if
    :: loan[1] && tick >= loan_end[1] -> loan[1] = false; loan_end[1] = 0
    :: else
    fi;
    if
    :: borrow_state[1] == FREE -> borrow_sent_at[1] = 0
    :: else
    fi;
    if
    :: renewal[0] == FREE -> renewal_sent[0] = 0
    :: else
    fi;
    if
    :: !bounded[0] -> bound_version[0] = 0; bound[0] = 0
    :: else
    fi;
    for (slot : 0 .. 3) {
        if
        :: state[slot] == FREE ->
            takeover[slot] = false; expected[slot] = 0; expected_row[slot] = 0;
            value[slot] = 0; value_epoch[slot] = 0
        :: else
        fi
    }
    slot = 0
}

inline check()
{
    d_step {
        reset_expired();
        compute_usable(0);
        sum = usable;
        compute_usable(1);
        sum = sum + usable;
        if
        :: loan[0] && tick < loan_end[0] -> sum++
        :: else
        fi;
        if
        :: loan[1] && tick < loan_end[1] -> sum++
        :: else
        fi;
        usable = 0;
        assert(sum <= PLAN);
        sum = 0
    }
}

inline apply_view(i, v, own, own_epoch, other)
{
    if
    :: v > view_version[i] ->
        view_version[i] = v;
        view_own[i] = own;
        view_epoch[i] = own_epoch;
        view_other[i] = other;
        if
        :: bounded[i] && v > bound_version[i] -> bounded[i] = false
        :: else
        fi
    :: else
    fi
}

inline read_ledger(i)
{
    apply_view(i, version, amount[i], entry_epoch[i], amount[1 - i])
}

inline send_write(i, is_takeover, new_value)
{
    state[2 * i] = SENT;
    takeover[2 * i] = is_takeover;
    expected[2 * i] = view_version[i];
    expected_row[2 * i] = read_row[i];
    value[2 * i] = new_value;
    value_epoch[2 * i] = epoch[i]
}

inline propose(i, new_value)
{
    if
    :: new_value < view_own[i] ->
        compute_usable(i);
        if
        :: HAS(11) && lent[i] && tick < lent_end[i] && new_value == 0 -> skip
        :: else ->
            send_write(i, false, new_value);
            if
            :: HAS(1) ->
                bound[i] = (bounded[i] && bound[i] < new_value ->
                    bound[i] : new_value);
                bounded[i] = true;
                bound_version[i] = view_version[i]
            :: else
            fi
        fi;
        usable = 0
    :: new_value >= view_own[i] && new_value + view_other[i] <= PLAN &&
       tick < lease_end[i] &&
       (new_value > view_own[i] || view_epoch[i] != epoch[i]) ->
        send_write(i, false, new_value);
        if
        :: HAS(2)
        :: else -> view_own[i] = new_value; view_epoch[i] = epoch[i]
        fi
    :: else
    fi
}

inline execute(s, i)
{
    if
    :: expected[s] == version &&
       (!takeover[s] || !HAS(5) || expected_row[s] == row[1 - i]) ->
        version++;
        if
        :: takeover[s] -> amount[1 - i] = 0
        :: else
        fi;
        amount[i] = value[s];
        entry_epoch[i] = value_epoch[s];
        state[s] = DONE
    :: else -> state[s] = FAILED
    fi
}

inline receive_answer(i)
{
    if
    :: state[2 * i] == DONE ->
        if
        :: takeover[2 * i] ->
            apply_view(
                i, expected[2 * i] + 1, value[2 * i], value_epoch[2 * i], 0)
        :: else ->
            apply_view(i, expected[2 * i] + 1, value[2 * i], value_epoch[2 * i],
                view_other[i])
        fi
    :: else
    fi;
    state[2 * i] = FREE
}

/* The write timed out: it may still arrive, or its answer was lost. */
inline time_out(i)
{
    if
    :: i == 0 && state[2 * i] == SENT && state[2 * i + 1] == FREE ->
        state[2 * i + 1] = SENT;
        takeover[2 * i + 1] = takeover[2 * i];
        expected[2 * i + 1] = expected[2 * i];
        expected_row[2 * i + 1] = expected_row[2 * i];
        value[2 * i + 1] = value[2 * i];
        value_epoch[2 * i + 1] = value_epoch[2 * i]
    :: else
    fi;
    if
    :: HAS(7)
    :: else -> bounded[i] = false
    fi;
    state[2 * i] = FREE
}

inline complete_renewal(i)
{
    if
    :: HAS(6) && tick >= lease_end[i] -> epoch[i]++
    :: else
    fi;
    lease_end[i] = renewal_sent[i] + LEASE;
    renewal[i] = FREE
}

inline lend(i, borrower)
{
    compute_usable(i);
    if
    :: usable > 0 && !(lent[i] && tick < lent_end[i]) &&
       (!HAS(9) || tick + LOAN <= lease_end[i]) ->
        lent[i] = HAS(8);
        lent_end[i] = tick + LOAN;
        borrow_state[borrower] = DONE
    :: else -> borrow_state[borrower] = FREE
    fi;
    usable = 0
}

inline borrow(i)
{
    loan[i] = true;
    loan_end[i] = (HAS(10) -> borrow_sent_at[i] : tick) + LOAN;
    borrow_state[i] = FREE
}

inline step(i, other)
{
    if
    /* The instance may read the rows of the table at any time. */
    :: view_version[i] != version -> read_ledger(i)
    :: read_row[i] != row[1 - i] -> read_row[i] = row[1 - i]; read_at[i] = tick
    /* Renewals. */
    :: i == 0 && renewal[i] == FREE && row[i] < LAST_ROW ->
        renewal[i] = SENT; renewal_sent[i] = tick
    :: renewal[i] == SENT -> row[i]++; renewal[i] = DONE
    :: renewal[i] == DONE -> complete_renewal(i)
    :: renewal[i] != FREE -> renewal[i] = FREE
    /* Ledger writes. */
    :: i == 0 && state[2 * i] == FREE && version < LAST_VERSION -> propose(i, 0)
    :: state[2 * i] == FREE && version < LAST_VERSION -> propose(i, PLAN)
    :: i == 1 && state[2 * i] == FREE && version < LAST_VERSION &&
       view_other[i] > 0 && view_own[i] == 0 && tick < lease_end[i] &&
       (!HAS(4) || tick >= read_at[i] + LEASE) -> send_write(i, true, PLAN)
    :: state[2 * i] == SENT -> execute(2 * i, i)
    :: state[2 * i] == DONE || state[2 * i] == FAILED -> receive_answer(i)
    :: state[2 * i] != FREE -> time_out(i)
    :: state[2 * i + 1] == SENT ->
        execute(2 * i + 1, i); state[2 * i + 1] = FREE
    :: state[2 * i + 1] == SENT -> state[2 * i + 1] = FREE
    /* Loans. */
    :: i == 1 && borrow_state[i] == FREE && !(loan[i] && tick < loan_end[i]) ->
        borrow_state[i] = SENT; borrow_sent_at[i] = tick; loan[i] = false
    :: borrow_state[i] == SENT -> lend(other, i)
    :: borrow_state[i] == DONE -> borrow(i)
    :: borrow_state[i] != FREE -> borrow_state[i] = FREE
    fi
}

active proctype fleet()
{
    d_step {
        amount[0] = PLAN;
        view_own[0] = PLAN;
        view_other[1] = PLAN;
        view_version[0] = 1;
        view_version[1] = 1;
        lease_end[0] = LEASE;
        lease_end[1] = LAST_TICK + LEASE
    }
end:
    do
    :: atomic { tick < LAST_TICK -> tick++; check() }
    :: atomic { step(0, 1); check() }
    :: atomic { step(1, 0); check() }
    od
}
