/* The replicated log of design section 5.1 with three hosts: election, append, commit, lost disk and
 * replacement of a member. One step of the loop is one atomic action of one host; a host that takes
 * no step is crashed, frozen or partitioned, and a stale leader may act at any time.
 *
 * An entry is TERM * 8 + KIND. A host's disk identity is 0, or 1 after its disk was lost. Checked:
 * one leader a term, and a committed entry never changes at a later commit.
 */
#define HOSTS 3
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOSSES
#define MAX_LOSSES 1
#endif
#ifndef MAX_LOG
#define MAX_LOG 4
#endif

#define COMMAND 0
#define REPLACE(h) (1 + (h)) /* drop identity 0 of host h, identity 1 becomes a learner */
#define PROMOTE(h) (4 + (h)) /* identity 1 of host h becomes a voter */
#define TERM_OF(e) ((e) / 8)
#define KIND_OF(e) ((e) % 8)
#define AT(h, i) log[(h) * MAX_LOG + (i)]
#define MATCH(l, f) match[(l) * HOSTS + (f)]

byte term[HOSTS];
byte voted[HOSTS];     /* candidate + 1 of this term, 0: none */
byte identity[HOSTS];  /* 1 after the disk was lost */
byte size[HOSTS];
byte log[HOSTS * MAX_LOG];
byte votes[HOSTS];     /* mask, of a candidate in its term */
bool leader[HOSTS];
byte match[HOSTS * HOSTS];  /* acknowledged to a leader by the identity in match_identity */
byte match_identity[HOSTS * HOSTS];
byte committed[MAX_LOG];    /* entries that were committed, 0: none */
byte leader_of[MAX_TERM + 1];
byte losses;

/* Results of MEMBERS, and scratch values. Each step sets them before it reads them, so they are no
 * part of the state. */
hidden byte voter[HOSTS];
hidden byte member[HOSTS]; /* identity */
hidden byte voter_count;
hidden byte i, n, h, k, other, intact;
hidden byte bearable;

inline MEMBERS(x) {
  for (h : 0 .. HOSTS - 1) { voter[h] = true; member[h] = 0; }
  i = 0;
  do
  :: i < size[x] ->
     k = KIND_OF(AT(x, i));
     if
     :: k >= 1 && k <= 3 -> voter[k - 1] = false; member[k - 1] = 1
     :: k >= 4 && k <= 6 -> voter[k - 4] = true
     :: else
     fi;
     i++
  :: else -> break
  od;
  voter_count = 0;
  for (h : 0 .. HOSTS - 1) { voter_count = voter_count + voter[h] }
}

#define LAST_TERM(x) (size[x] == 0 -> 0 : TERM_OF(AT(x, size[x] - 1)))
#define MAJORITY(count) (2 * (count) > voter_count)

#ifdef BROKEN_OLD_TERM_COMMIT
#define MAY_COMMIT(l, count) true
#else
#define MAY_COMMIT(l, count) (TERM_OF(AT(l, (count) - 1)) == term[l])
#endif
#define IS_COMMITTED(l, at) (committed[at] == AT(l, at))
#ifdef BROKEN_CHANGE_BEFORE_COMMIT
#define MAY_CHANGE(l) (leader[l] && size[l] < MAX_LOG)
#else
/* The last entry, which is of the leader's own term, is committed; so is every earlier change. */
#define MAY_CHANGE(l) (leader[l] && size[l] < MAX_LOG && IS_COMMITTED(l, size[l] - 1))
#endif

/* A new term of host x: its vote and candidacy of the old one end. */
inline ENTER_TERM(x, t) {
  term[x] = t; voted[x] = 0; votes[x] = 0; leader[x] = false
}

inline STAND(c) {
  term[c]++; votes[c] = 0; leader[c] = false; voted[c] = c + 1;
  votes[c] = 1 << c
}

/* Host v votes for candidate c if the candidate asks this disk identity. */
inline VOTE(v, c) {
  MEMBERS(c);
  if
  :: voter[v] && member[v] == identity[v] && term[v] <= term[c] &&
     !(term[v] == term[c] && voted[v] != 0) &&
     (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && size[c] >= size[v])) ->
     if :: term[v] < term[c] -> ENTER_TERM(v, term[c]) :: else fi;
     voted[v] = c + 1;
     votes[c] = votes[c] | (1 << v)
  :: else
  fi
}

inline WIN(c) {
  MEMBERS(c);
  n = 0;
  for (h : 0 .. HOSTS - 1) {
    if :: voter[h] && (votes[c] & (1 << h)) -> n++ :: else fi
  }
  if
  :: MAJORITY(n) ->
     assert(leader_of[term[c]] == 0 || leader_of[term[c]] == c + 1);
     leader_of[term[c]] = c + 1;
     leader[c] = true; votes[c] = 0;
     for (h : 0 .. HOSTS - 1) { MATCH(c, h) = 0; match_identity[c * HOSTS + h] = 0 }
     AT(c, size[c]) = term[c] * 8 + COMMAND;  /* the no-op of the term */
     size[c]++
  :: else
  fi
}

/* The leader changes one member. `committed_own` holds the index after the last commit. */
inline CHANGE(l, kind) {
  AT(l, size[l]) = term[l] * 8 + kind;
  size[l]++
}

/* The first `end` entries of the leader reach follower f and is on its disk; the reply reaches l. */
inline ACCEPT(l, f, end) {
  if :: term[f] < term[l] -> ENTER_TERM(f, term[l]) :: else -> votes[f] = 0 fi;
  i = 0;
  do
  :: i < (end) && i < size[f] && AT(l, i) == AT(f, i) -> i++
  :: else -> break
  od;
  if
  :: i < (end) ->
     do
     :: i < (end) -> AT(f, i) = AT(l, i); i++
     :: else -> break
     od;
     k = size[f];
     size[f] = (end);
     do
     :: i < k -> AT(f, i) = 0; i++
     :: else -> break
     od
  :: else
  fi;
  if
  :: MATCH(l, f) < (end) || match_identity[l * HOSTS + f] != identity[f] -> MATCH(l, f) = (end)
  :: else
  fi;
  match_identity[l * HOSTS + f] = identity[f]
}

/* The leader addresses the disk identity that is a member, and another one does not answer. */
inline REPLICATE(l, f, end) {
  MEMBERS(l);
  if
  :: member[f] == identity[f] -> ACCEPT(l, f, end)
  :: else
  fi
}

/* The leader commits the longest part of its log that a majority has acknowledged, if that part ends
 * with a record of its own term. */
inline COMMIT(l) {
  MEMBERS(l);
  k = size[l];
  do
  :: k > 0 ->
     n = 0;
     for (h : 0 .. HOSTS - 1) {
       if
       :: voter[h] && h == l && member[h] == identity[h] -> n++
       :: voter[h] && h != l && MATCH(l, h) >= k &&
          match_identity[l * HOSTS + h] == member[h] -> n++
       :: else
       fi
     }
     if :: MAJORITY(n) -> break :: else -> k-- fi
  :: else -> break
  od;
  if
  :: k > 0 && MAY_COMMIT(l, k) ->
     i = 0;
     do
     :: i < k ->
        assert(committed[i] == 0 || committed[i] == AT(l, i));
        committed[i] = AT(l, i);
#ifdef REACH_REPLACEMENT
        assert(KIND_OF(committed[i]) < PROMOTE(0)); /* fails if the model gets that far */
#endif
        i++
     :: else -> break
     od
  :: else
  fi
}

/* Whether the members in every log keep a majority of intact disks without host x. Beyond that no
 * protocol keeps the log. Result in n. */
inline LOSS_IS_BEARABLE(x) {
  bearable = true;
  other = 0;
  do
  :: other < HOSTS ->
     MEMBERS(other);
     intact = 0;
     for (h : 0 .. HOSTS - 1) {
       if :: voter[h] && h != x && member[h] == identity[h] -> intact++ :: else fi
     }
     if :: !MAJORITY(intact) -> bearable = false :: else fi;
     other++
  :: else -> break
  od;
  n = bearable
}

inline LOSE_DISK(x) {
  LOSS_IS_BEARABLE(x);
  if
  :: n == 1 ->
     losses++;
     term[x] = 0; voted[x] = 0; votes[x] = 0; leader[x] = false;
     for (h : 0 .. MAX_LOG - 1) { AT(x, h) = 0 }
     size[x] = 0;
     for (h : 0 .. HOSTS - 1) { MATCH(x, h) = 0; match_identity[x * HOSTS + h] = 0 }
#ifndef BROKEN_LOST_DISK_VOTES
     identity[x] = 1
#endif
  :: else
  fi
}

inline REPLACE_LOST(l, x) {
  MEMBERS(l);
  if
  :: identity[x] == 1 && member[x] == 0 -> CHANGE(l, REPLACE(x))
  :: identity[x] == 1 && member[x] == 1 && !voter[x] && MATCH(l, x) + 1 >= size[l] &&
     match_identity[l * HOSTS + x] == 1 -> CHANGE(l, PROMOTE(x))
  :: else
  fi
}

/* A host with an empty log and identity 1 is a learner and does not stand. */
#define MAY_STAND(c) (term[c] < MAX_TERM && !leader[c] && identity[c] == 0 || \
                      (identity[c] == 1 && term[c] < MAX_TERM && !leader[c] && size[c] > 0))

active proctype Hosts() {
  byte a, b;
  do
  :: atomic {
       select(a : 0 .. HOSTS - 1);
       select(b : 0 .. HOSTS - 1);
       if
       :: a == b && MAY_STAND(a) && size[a] < MAX_LOG ->
          MEMBERS(a);
          if :: voter[a] && member[a] == identity[a] -> STAND(a) :: else fi
       :: a != b && votes[a] != 0 && !leader[a] -> VOTE(b, a)
       :: a == b && votes[a] != 0 && !leader[a] && size[a] < MAX_LOG -> WIN(a)
       :: a == b && leader[a] && size[a] + 1 < MAX_LOG -> CHANGE(a, COMMAND)
       :: a != b && leader[a] && term[b] <= term[a] -> REPLICATE(a, b, size[a])
       :: a != b && leader[a] && term[b] <= term[a] && size[a] > 1 -> REPLICATE(a, b, size[a] - 1)
       :: a == b && leader[a] -> COMMIT(a)
       :: a == b && leader[a] -> leader[a] = false  /* restart, or no majority heard */
       :: a != b && MAY_CHANGE(a) -> REPLACE_LOST(a, b)
       :: a == b && losses < MAX_LOSSES && identity[a] == 0 -> LOSE_DISK(a)
       :: else
       fi;
       a = 0; b = 0
     }
  od
}
