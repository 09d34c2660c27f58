// Configuration versions (design page, sections 3.2 and 5.4): operators race
// to change one row, answers of the store are lost or late, and two replicas
// apply what they read in any order.
//
// Checked: a change id is applied at most once; no change is written over one
// that its operator has not seen; a replica's version never reverts.
//
// safeguards: 3
// 1  after a lost answer or a conflict, the writer looks for its change id
// 2  the commit's condition on the version that the writer read
// 3  a replica applies a version only when it is greater than its own

#define WRITERS 2
#define TRIES 3
#define QUEUE 3

// Requests in flight to the store, each with the writer and what it read.
chan requests = [QUEUE] of { byte, byte };// Answers; a writer that has given up discards them.
chan answers[WRITERS] = [TRIES] of { byte, bool };

byte head = 0;
byte applied[WRITERS];

active proctype store_service()
{
    byte who, seen;
end:
    do
    :: requests ? who, seen ->
        atomic {
            if
#if NO_SAFEGUARD != 2
            :: seen != head ->
                if
                :: answers[who] ! seen, false
                :: skip // The answer is lost.
                fi
#endif
            :: seen == head || NO_SAFEGUARD == 2 ->
                assert(seen == head);
                head++;
                applied[who]++;
                assert(applied[who] <= 1);
                if
                :: answers[who] ! seen, true
                :: skip
                fi
            fi
        }
    od
}

proctype writer(byte me)
{
    byte tries = 0;
    byte seen, about;
    bool done = false;
    do
    :: done || tries == TRIES -> break
    :: !done && tries < TRIES ->
        // Reads the head and looks for its change id in one list.
        atomic {
            if
#if NO_SAFEGUARD != 1
            :: applied[me] > 0 -> done = true
#endif
            :: applied[me] == 0 || NO_SAFEGUARD == 1 ->
                seen = head;
                tries++
            fi
        }
        if
        :: done
        :: !done ->
            requests ! me, seen;
            // Waits for the answer, or gives up: the request may still be
            // on its way and take effect later.
            if
            :: answers[me] ? about, done ->
                // An answer to an earlier try is no answer to this one.
                if
                :: about != seen -> done = false
                :: else
                fi
            :: true
            fi
        fi
    od
}

// What reaches a replica by polls and from peers, lost, late, twice or out of
// order, is any version that was ever accepted, at any time.
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
