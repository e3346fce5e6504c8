/* Requests that wait a moment for a place at a busy back end, by service. */
#include <stdlib.h>
#include <string.h>

#include "forward.h"

enum {
	/* Longest wait, in per cent of the latency objective: one that waits longer is late
	 * even if it is then answered as fast as usual. */
	WAIT_PERCENT = 50,
	DEADLINE_SHARE = 4, /* of cs_admission: a request waits a quarter of its time at most */
	MAX_WAIT_MS = 500,
	LEAST_RETRY_MS = 400, /* callers may come again once; a place is free by then more often */
	POLL_MS = 40          /* reports of other daemons' requests change what is free */
};

struct cs_line {
	char *service;
	cs_admission_t admission;
	UT_hash_handle hh;
};

static cs_line_t *
find_line (cs_forward_t *f, const char *service)
{
	const cs_admission_options_t options = {.max_wait_ms = MAX_WAIT_MS};
	cs_line_t *l;
	HASH_FIND_STR (f->lines, service, l);
	if (l)
		return l;
	l = cs_alloc (sizeof *l);
	l->service = cs_str_dup (cs_str (service));
	cs_admission_init (&l->admission, &options);
	HASH_ADD_KEYPTR (hh, f->lines, l->service, strlen (l->service), l);
	return l;
}

static cs_call_t *
find_call (const cs_forward_t *f, uint64_t number)
{
	cs_call_t *c = f->calls;
	while (c && c->number != number)
		c = c->next;
	return c;
}

bool
cs_queue_offer (cs_call_t *c, const char *service, int64_t *retry_after_ms)
{
	cs_forward_t *f = c->forward;
	cs_line_t *l = find_line (f, service);
	int64_t now = cs_now_ms ();
	int64_t wait = (int64_t)c->route->target_ms * WAIT_PERCENT / 100;
	uint32_t priority = c->route->priority < CS_ADMISSION_PRIORITIES
				    ? c->route->priority
				    : CS_ADMISSION_PRIORITIES - 1;
	if (c->team && c->team->priority >= 0 && c->team->priority < CS_ADMISSION_PRIORITIES)
		priority = (uint32_t)c->team->priority;
	cs_status_t status = cs_admission_offer (&l->admission, now, c->number, priority,
						 now + DEADLINE_SHARE * wait, retry_after_ms);
	if (*retry_after_ms < LEAST_RETRY_MS)
		*retry_after_ms = LEAST_RETRY_MS;
	if (status != CS_OK)
		return false;
	c->line = l;
	if (!ev_is_active (&f->poll))
		ev_timer_again (f->task->kernel->loop, &f->poll);
	return true;
}

void
cs_queue_leave (cs_call_t *c)
{
	if (c->line)
		cs_admission_cancel (&c->line->admission, c->number);
	c->line = NULL;
}

void
cs_queue_ended (cs_forward_t *f, const char *service)
{
	cs_line_t *l = find_line (f, service);
	cs_admission_record_end (&l->admission, cs_now_ms ());
}

/* Sends on who waits first, as long as there are places. */
static void
send_waiting (cs_forward_t *f, cs_line_t *l)
{
	uint64_t number;
	while (cs_admission_peek (&l->admission, &number) == CS_OK) {
		cs_call_t *c = find_call (f, number);
		if (c && !cs_dispatch_waiting (c, l->service))
			return;
		if (c)
			c->line = NULL;
		cs_admission_remove (&l->admission, number);
	}
}

static void
refuse_late (cs_forward_t *f, cs_line_t *l)
{
	cs_admission_tick (&l->admission, cs_now_ms ());
	for (size_t i = 0; i < l->admission.n_refusals; i++) {
		const cs_admission_refusal_t *r = &l->admission.refusals[i];
		cs_call_t *c = find_call (f, r->id);
		int64_t ms =
			r->retry_after_ms > LEAST_RETRY_MS ? r->retry_after_ms : LEAST_RETRY_MS;
		if (!c)
			continue;
		c->line = NULL;
		cs_dispatch_refuse (c, "waited", (uint32_t)ms);
	}
	cs_admission_clear_refusals (&l->admission);
}

/* Sends on and refuses who waits. */
static void
serve_lines (cs_forward_t *f)
{
	bool waiting = false;
	for (cs_line_t *l = f->lines; l; l = l->hh.next) {
		send_waiting (f, l);
		refuse_late (f, l);
		waiting |= l->admission.queued > 0;
	}
	if (!waiting)
		ev_timer_stop (f->task->kernel->loop, &f->poll);
}

static void
on_poll (struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	serve_lines (w->data);
}

void
cs_queue_init (cs_forward_t *f)
{
	ev_timer_init (&f->poll, on_poll, 0., POLL_MS / 1000.);
	f->poll.data = f;
}

void
cs_queue_finish (cs_forward_t *f)
{
	cs_line_t *l, *next;
	ev_timer_stop (f->task->kernel->loop, &f->poll);
	HASH_ITER (hh, f->lines, l, next) {
		HASH_DEL (f->lines, l);
		cs_admission_finish (&l->admission);
		free (l->service);
		free (l);
	}
}
