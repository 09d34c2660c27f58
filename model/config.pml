// Model of configuration versions (design page, sections 3.2 and 5.4).
// Operators concurrently change one row, answers of the store are lost or
// delayed, and a replica applies the versions that it reads in any order.
//
// Checked: a change id is applied at most once; no change overwrites one that
// its operator has not read; the version of a replica never decreases.
//
// safeguards: 3
// 1  after a lost answer or a conflict, the writer checks whether its change id
//    has been applied
// 2  the commit is conditional on the version that the writer read
// 3  a replica applies a version only if it is greater than its own

#define WRITERS 2
#define TRIES 3
#define QUEUE 3

// Requests in flight to the store: the writer and the version that it read.
chan requests = [QUEUE] of { byte, byte };
// Answers: the version of the request and whether it was applied. A writer that
// has timed out discards late ones.
chan answers[WRITERS] = [TRIES] of { byte, bool };

byte head = 0;
byte applied[WRITERS];

active proctype store_service()
{
    byte sender, read_version;
end:
    do
    :: requests ? sender, read_version ->
        atomic {
            if
#if NO_SAFEGUARD != 2
            :: read_version != head ->
                if
                :: answers[sender] ! read_version, false
                :: skip // the answer is lost
                fi
#endif
            :: read_version == head || NO_SAFEGUARD == 2 ->
                assert(read_version == head);
                head++;
                applied[sender]++;
                assert(applied[sender] <= 1);
                if
                :: answers[sender] ! read_version, true
                :: skip
                fi
            fi
        }
    od
}

proctype writer(byte id)
{
    byte tries = 0;
    byte read_version, answered_version;
    bool done = false;
    do
    :: done || tries == TRIES -> break
    :: !done && tries < TRIES ->
        // Reads the head and checks for its change id in one list call.
        atomic {
            if
#if NO_SAFEGUARD != 1
            :: applied[id] > 0 -> done = true
#endif
            :: applied[id] == 0 || NO_SAFEGUARD == 1 ->
                read_version = head;
                tries++
            fi
        }
        if
        :: done
        :: !done ->
            requests ! id, read_version;
            // Waits for the answer or times out; after a timeout the request
            // may still be in flight and be applied later.
            if
            :: answers[id] ? answered_version, done ->
                // Discards a late answer to an earlier try.
                if
                :: answered_version != read_version -> done = false
                :: else
                fi
            :: true
            fi
        fi
    od
}

// A replica reads versions by polling and from peers. Reads may be lost, late,
// duplicated or reordered, so any accepted version may arrive at any time.
active proctype replica()
{
    byte version = 0;
    byte next;
end:
    do
    :: atomic {
        next = 1;
        do
        :: next < head -> next++
        :: next <= head -> break
        :: head == 0 -> next = 0; break
        od;
        if
#if NO_SAFEGUARD != 3
        :: next <= version
#endif
        :: next > version || NO_SAFEGUARD == 3 ->
            assert(next >= version);
            version = next
        fi;
        next = 0 }
    od
}

init {
    atomic {
        byte i = 0;
        do
        :: i < WRITERS -> run writer(i); i++
        :: else -> break
        od
    }
}
