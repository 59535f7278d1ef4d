/* The booking claim of design section 5.3: one key, a claimer that may freeze at any step, a caller
 * that retries through another host, and the service with its idempotent lookup. The log is one
 * atomic state, because log.pml covers it; a proposal may be lost before it is durable.
 *
 * Checked: the service books at most once; `not_run` is reported only if the key has not run and
 * never runs later; `done` is reported only for a booking.
 */
mtype = { absent, in_progress, done, not_run, unknown };

mtype state = absent;
bool claim_due = false;   /* log time is past resolve_at */
byte booked = 0;          /* bookings at the service */
bool reported_not_run = false;
byte requests = 0;        /* sent to the service and still on their way */

#define REPORT_NOT_RUN \
  assert(booked == 0 && requests == 0); reported_not_run = true

/* The service handles a request that may have been on its way for any time. */
active proctype Service() {
end_service:
  do
  :: atomic {
       requests > 0 ->
       requests--;
       booked++;
       assert(booked <= 1);
       assert(!reported_not_run)
     }
  od
}

active proctype Clock() {
  claim_due = true
}

/* The entry process named in the claim. It may freeze between any two steps. */
active proctype Claimer() {
  bool sent = false;
#ifdef BROKEN_SEND_BEFORE_DURABLE
  /* The claim is proposed and the request sent; the leader may fail before the claim commits. */
  requests++;
  sent = true;
  if
  :: atomic { state == absent -> state = in_progress }
  :: skip /* the proposal is lost */
  fi;
#else
  if
  :: atomic { state == absent -> state = in_progress }
  :: atomic { state != absent -> goto end_claimer } /* the claim was refused */
  :: goto end_claimer                               /* the proposal is lost */
  fi;
  if
  :: requests++; sent = true
  :: skip /* no connection: nothing was sent */
  :: goto end_claimer /* dies */
  fi;
#endif
  if
  :: sent ->
     if
     :: atomic { booked > 0 -> /* a complete response */
          if
          :: state == in_progress || state == unknown -> state = done
          :: else
          fi
        }
     :: skip /* the response is lost, or the claimer dies */
     fi
  :: else ->
     /* Only the claimer knows that nothing was sent, and that it will not send. */
     atomic {
       if
       :: state == in_progress || state == unknown -> state = not_run; REPORT_NOT_RUN
       :: else
       fi
     }
  fi;
end_claimer:
  skip
}

/* The caller repeats the call with the same key through another host, as often as it likes. */
active proctype Retry() {
  bool found;
end_retry:
  do
  :: atomic {
       state == done -> assert(booked == 1)
     }
  :: atomic { state == not_run -> REPORT_NOT_RUN }
  :: atomic {
       state == in_progress && claim_due -> state = unknown
     }
  :: state == unknown ->
     /* The lookup reads the service now; the log is changed later. */
     found = (booked > 0);
     if
     :: found -> atomic { if :: state == unknown -> state = done :: else fi }
     :: else ->
#ifdef BROKEN_NOT_RUN_AFTER_LOOKUP
        /* Wrong: a frozen claimer, or a request on its way, may still run. */
        atomic { if :: state == unknown -> state = not_run; REPORT_NOT_RUN :: else fi }
#endif
#ifdef BROKEN_RETRY_SENDS
        /* Wrong: sends again because the lookup found nothing. */
        requests++
#endif
        skip
     fi
  :: atomic {
       /* The call is refused before any claim, as by a limit. */
       state == absent -> state = not_run; REPORT_NOT_RUN
     }
#ifdef REACH_DONE_BY_LOOKUP
  :: atomic { state == done && claim_due && found -> assert(false) }
#endif
  :: atomic { state == not_run || state == done -> break }
  od
}
