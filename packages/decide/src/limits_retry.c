/* Retry times given to refused callers, and the slots reserved for them at those times. A
 * returning caller is recognized by the fingerprint of its request. */
#include <stdlib.h>

#include "limits_impl.h"

enum {
	SECOND_MS = 1000,
	STEPS_A_SECOND = SECOND_MS / CS_LIMITS_STEP_MS,
	MINUTE_S = CS_LIMITS_MINUTE_MS / SECOND_MS,
	GRACE_S = 2, /* reservation time after the promised retry time */
	RESERVATIONS_MAX = 4096
};

static cs_reservation_t *
find_reservation (const cs_retry_schedule_t *s, uint64_t fingerprint)
{
	cs_reservation_t *reservation;
	HASH_FIND (hh, s->reservations, &fingerprint, sizeof fingerprint, reservation);
	return reservation;
}

static void
drop_reservation (cs_retry_schedule_t *s, cs_reservation_t *reservation)
{
	HASH_DEL (s->reservations, reservation);
	free (reservation);
}

void
cs_retry_schedule_finish (cs_retry_schedule_t *s)
{
	cs_reservation_t *reservation, *next;
	HASH_ITER (hh, s->reservations, reservation, next) {
		drop_reservation (s, reservation);
	}
	*s = (cs_retry_schedule_t){0};
}

void
cs_retry_schedule_advance (cs_retry_schedule_t *s, int64_t now_ms)
{
	int64_t second = now_ms / SECOND_MS;
	cs_reservation_t *reservation, *next;
	if (s->now_s == second)
		return;
	if (second - s->now_s > CS_LIMITS_RETRY_MAX_S)
		s->now_s = second - CS_LIMITS_RETRY_MAX_S;
	while (s->now_s < second) {
		s->now_s++;
		int64_t past = s->now_s - GRACE_S - 1 + CS_LIMITS_RETRY_MAX_S;
		s->due[past % CS_LIMITS_RETRY_MAX_S] = 0;
		s->total_promised -= s->promised[s->now_s % CS_LIMITS_RETRY_MAX_S];
		s->promised[s->now_s % CS_LIMITS_RETRY_MAX_S] = 0;
	}
	HASH_ITER (hh, s->reservations, reservation, next) {
		if (reservation->due_s + GRACE_S < second)
			drop_reservation (s, reservation);
	}
}

int64_t
cs_retry_schedule_reserved_soon (const cs_retry_schedule_t *s)
{
	return cs_retry_schedule_reserved (s) + s->due[(s->now_s + 1) % CS_LIMITS_RETRY_MAX_S];
}

int64_t
cs_retry_schedule_reserved (const cs_retry_schedule_t *s)
{
	int64_t n = 0;
	for (int64_t i = 0; i <= GRACE_S && i <= s->now_s; i++)
		n += s->due[(s->now_s - i) % CS_LIMITS_RETRY_MAX_S];
	return n;
}

bool
cs_retry_schedule_is_due (const cs_retry_schedule_t *s, uint64_t fingerprint)
{
	const cs_reservation_t *reservation = find_reservation (s, fingerprint);
	return reservation && reservation->due_s <= s->now_s;
}

void
cs_retry_schedule_remove (cs_retry_schedule_t *s, uint64_t fingerprint)
{
	cs_reservation_t *reservation = find_reservation (s, fingerprint);
	if (!reservation)
		return;
	s->due[reservation->due_s % CS_LIMITS_RETRY_MAX_S] -= (uint32_t)reservation->n_slots;
	drop_reservation (s, reservation);
}

static void
add_reservation (cs_retry_schedule_t *s, uint64_t fingerprint, int64_t second, int64_t n)
{
	if (!fingerprint || HASH_COUNT (s->reservations) >= RESERVATIONS_MAX)
		return;
	cs_retry_schedule_remove (s, fingerprint);
	cs_reservation_t *reservation = cs_alloc (sizeof *reservation);
	*reservation =
		(cs_reservation_t){.fingerprint = fingerprint, .due_s = second, .n_slots = n};
	HASH_ADD (hh, s->reservations, fingerprint, sizeof reservation->fingerprint, reservation);
	s->due[second % CS_LIMITS_RETRY_MAX_S] += (uint32_t)n;
}

/* Number of slots freed in the given second from now, counted from 0. */
static int64_t
count_returning (const cs_window_t *w, int64_t second)
{
	int64_t n = 0;
	for (int64_t i = 1; i <= STEPS_A_SECOND; i++) {
		int64_t ahead = second * STEPS_A_SECOND + i;
		if (ahead < CS_LIMITS_STEPS)
			n += w->returning[(w->step + ahead) % CS_LIMITS_STEPS];
	}
	return n;
}

int64_t
cs_retry_schedule_add (cs_retry_schedule_t *s, const cs_window_t *w, uint64_t fingerprint,
		       int64_t free, int64_t need)
{
	int64_t returns[CS_LIMITS_RETRY_MAX_S];
	const cs_reservation_t *known = find_reservation (s, fingerprint);
	if (known && known->due_s > s->now_s)
		return (known->due_s - s->now_s) * SECOND_MS;
	int64_t missing = need + s->total_promised + w->debt - free;
	for (int64_t i = 0; i < CS_LIMITS_RETRY_MAX_S - GRACE_S - 2; i++) {
		/* a slot that is freed is occupied again by a waiting caller for a minute */
		returns[i] = count_returning (w, i) + (i >= MINUTE_S ? returns[i - MINUTE_S] : 0);
		missing -= returns[i];
		if (missing > 0)
			continue;
		int64_t second = s->now_s + i + 1;
		s->promised[second % CS_LIMITS_RETRY_MAX_S] += (uint32_t)need;
		s->total_promised += need;
		add_reservation (s, fingerprint, second, need);
		return (i + 1) * SECOND_MS;
	}
	return (int64_t)CS_LIMITS_RETRY_MAX_S * SECOND_MS;
}
