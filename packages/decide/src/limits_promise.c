/* Retry times given to refused callers, and the slots reserved for them at those times. A
 * returning caller is recognized by the fingerprint of its request. */
#include <stdlib.h>

#include "limits_impl.h"

enum {
	SECOND_MS = 1000,
	STEPS_A_SECOND = SECOND_MS / CS_LIMITS_STEP_MS,
	MINUTE_S = CS_LIMITS_MINUTE_MS / SECOND_MS,
	GRACE_S = 2, /* reservation time after the promised retry time */
	TICKETS_MAX = 4096
};

static cs_ticket_t *
find_ticket (const cs_promises_t *p, uint64_t fingerprint)
{
	cs_ticket_t *ticket;
	HASH_FIND (hh, p->tickets, &fingerprint, sizeof fingerprint, ticket);
	return ticket;
}

static void
drop_ticket (cs_promises_t *p, cs_ticket_t *ticket)
{
	HASH_DEL (p->tickets, ticket);
	free (ticket);
}

void
cs_promises_finish (cs_promises_t *p)
{
	cs_ticket_t *ticket, *next;
	HASH_ITER (hh, p->tickets, ticket, next) {
		drop_ticket (p, ticket);
	}
	*p = (cs_promises_t){0};
}

void
cs_promises_advance (cs_promises_t *p, int64_t now_ms)
{
	int64_t second = now_ms / SECOND_MS;
	cs_ticket_t *ticket, *next;
	if (p->now_s == second)
		return;
	if (second - p->now_s > CS_LIMITS_PROMISES_S)
		p->now_s = second - CS_LIMITS_PROMISES_S;
	while (p->now_s < second) {
		p->now_s++;
		int64_t past = p->now_s - GRACE_S - 1 + CS_LIMITS_PROMISES_S;
		p->due[past % CS_LIMITS_PROMISES_S] = 0;
		p->total_promised -= p->promised[p->now_s % CS_LIMITS_PROMISES_S];
		p->promised[p->now_s % CS_LIMITS_PROMISES_S] = 0;
	}
	HASH_ITER (hh, p->tickets, ticket, next) {
		if (ticket->due_s + GRACE_S < second)
			drop_ticket (p, ticket);
	}
}

int64_t
cs_promises_reserved_soon (const cs_promises_t *p)
{
	return cs_promises_reserved (p) + p->due[(p->now_s + 1) % CS_LIMITS_PROMISES_S];
}

int64_t
cs_promises_reserved (const cs_promises_t *p)
{
	int64_t n = 0;
	for (int64_t i = 0; i <= GRACE_S && i <= p->now_s; i++)
		n += p->due[(p->now_s - i) % CS_LIMITS_PROMISES_S];
	return n;
}

bool
cs_promises_is_due (const cs_promises_t *p, uint64_t fingerprint)
{
	const cs_ticket_t *ticket = find_ticket (p, fingerprint);
	return ticket && ticket->due_s <= p->now_s;
}

void
cs_promises_redeem (cs_promises_t *p, uint64_t fingerprint)
{
	cs_ticket_t *ticket = find_ticket (p, fingerprint);
	if (!ticket)
		return;
	p->due[ticket->due_s % CS_LIMITS_PROMISES_S] -= (uint32_t)ticket->n_slots;
	drop_ticket (p, ticket);
}

static void
add_ticket (cs_promises_t *p, uint64_t fingerprint, int64_t second, int64_t n)
{
	if (!fingerprint || HASH_COUNT (p->tickets) >= TICKETS_MAX)
		return;
	cs_promises_redeem (p, fingerprint);
	cs_ticket_t *ticket = cs_alloc (sizeof *ticket);
	*ticket = (cs_ticket_t){.fingerprint = fingerprint, .due_s = second, .n_slots = n};
	HASH_ADD (hh, p->tickets, fingerprint, sizeof ticket->fingerprint, ticket);
	p->due[second % CS_LIMITS_PROMISES_S] += (uint32_t)n;
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
cs_promises_schedule (cs_promises_t *p, const cs_window_t *w, uint64_t fingerprint, int64_t free,
		      int64_t need)
{
	int64_t returns[CS_LIMITS_PROMISES_S];
	const cs_ticket_t *known = find_ticket (p, fingerprint);
	if (known && known->due_s > p->now_s)
		return (known->due_s - p->now_s) * SECOND_MS;
	int64_t missing = need + p->total_promised + w->debt - free;
	for (int64_t i = 0; i < CS_LIMITS_PROMISES_S - GRACE_S - 2; i++) {
		/* a slot that is freed is occupied again by a waiting caller for a minute */
		returns[i] = count_returning (w, i) + (i >= MINUTE_S ? returns[i - MINUTE_S] : 0);
		missing -= returns[i];
		if (missing > 0)
			continue;
		int64_t second = p->now_s + i + 1;
		p->promised[second % CS_LIMITS_PROMISES_S] += (uint32_t)need;
		p->total_promised += need;
		add_ticket (p, fingerprint, second, need);
		return (i + 1) * SECOND_MS;
	}
	return (int64_t)CS_LIMITS_PROMISES_S * SECOND_MS;
}
