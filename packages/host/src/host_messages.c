#include "cs/host_messages.h"

#include <stdlib.h>

static void
free_serving_msg (cs_ref_t *ref)
{
	cs_serving_msg_t *m = (cs_serving_msg_t *)ref;
	cs_ref_put (&m->serving->ref);
	free (m);
}

static void
free_backend_msg (cs_ref_t *ref)
{
	cs_backend_msg_t *m = (cs_backend_msg_t *)ref;
	if (m->backend)
		cs_ref_put (&m->backend->ref);
	free (m->id);
	free (m);
}

static void
free_backend_said_msg (cs_ref_t *ref)
{
	cs_backend_said_msg_t *m = (cs_backend_said_msg_t *)ref;
	free (m->id);
	free (m);
}

static void
free_zone_msg (cs_ref_t *ref)
{
	cs_zone_msg_t *m = (cs_zone_msg_t *)ref;
	free (m->zone);
	free (m);
}

static void
free_ledger_msg (cs_ref_t *ref)
{
	cs_ledger_msg_t *m = (cs_ledger_msg_t *)ref;
	for (size_t i = 0; i < m->n_records; i++)
		cs_buf_finish (&m->records[i]);
	free (m->records);
	cs_buf_finish (&m->bytes);
	free (m);
}

cs_serving_msg_t *
cs_serving_msg (cs_serving_t *serving)
{
	cs_serving_msg_t *m = cs_msg_new (sizeof *m, CS_HOST_SERVING, free_serving_msg);
	cs_ref_get (&serving->ref);
	m->serving = serving;
	return m;
}

void
cs_serving_msg_apply (const cs_serving_msg_t *m, cs_serving_t **held)
{
	cs_ref_get (&m->serving->ref);
	if (*held)
		cs_ref_put (&(*held)->ref);
	*held = m->serving;
}

cs_backend_msg_t *
cs_backend_msg (cs_str_t id, cs_backend_t *backend)
{
	cs_backend_msg_t *m = cs_msg_new (sizeof *m, CS_HOST_BACKEND, free_backend_msg);
	if (backend)
		cs_ref_get (&backend->ref);
	m->backend = backend;
	m->id = cs_str_dup (id);
	return m;
}

bool
cs_backend_msg_apply (const cs_backend_msg_t *m, cs_fleet_t *fleet)
{
	if (!m->backend)
		return cs_fleet_remove (fleet, cs_now_ms (), m->id);
	cs_ref_get (&m->backend->ref);
	return cs_fleet_set (fleet, cs_now_ms (), m->backend);
}

cs_backend_said_msg_t *
cs_backend_said_msg (int kind, const char *id, uint64_t born, int64_t until_ms)
{
	cs_backend_said_msg_t *m = cs_msg_new (sizeof *m, kind, free_backend_said_msg);
	m->id = cs_str_dup (cs_str (id));
	m->born = born;
	m->until_ms = until_ms;
	return m;
}

cs_crash_msg_t *
cs_crash_msg (int kind, cs_crash_key_t key, int64_t until_ms, int64_t since_ms)
{
	cs_crash_msg_t *m = cs_msg_new (sizeof *m, kind, cs_msg_free);
	m->key = key;
	m->until_ms = until_ms;
	m->since_ms = since_ms;
	return m;
}

cs_zone_msg_t *
cs_zone_msg (cs_str_t zone, bool is_evacuated)
{
	cs_zone_msg_t *m = cs_msg_new (sizeof *m, CS_HOST_EVACUATION, free_zone_msg);
	m->zone = cs_str_dup (zone);
	m->is_evacuated = is_evacuated;
	return m;
}

cs_cold_share_msg_t *
cs_cold_share_msg (const cs_cold_place_t *place)
{
	cs_cold_share_msg_t *m = cs_msg_new (sizeof *m, CS_HOST_COLD_SHARE, cs_msg_free);
	m->place = *place;
	return m;
}

cs_state_msg_t *
cs_state_msg (int kind, bool yes, int64_t until_ms)
{
	cs_state_msg_t *m = cs_msg_new (sizeof *m, kind, cs_msg_free);
	m->is_true = yes;
	m->until_ms = until_ms;
	return m;
}

cs_ledger_msg_t *
cs_ledger_msg (int kind, uint64_t offset, cs_str_t bytes, cs_status_t status)
{
	cs_ledger_msg_t *m = cs_msg_new (sizeof *m, kind, free_ledger_msg);
	m->offset = offset;
	m->status = status;
	cs_buf_init (&m->bytes);
	if (bytes.n)
		cs_buf_add (&m->bytes, bytes);
	return m;
}

cs_ledger_msg_t *
cs_note_msg (const char *from, Cs__Note *note)
{
	cs_ledger_msg_t *m = cs_ledger_msg (CS_HOST_NOTE, 0, cs_str (NULL), CS_OK);
	note->from = (char *)(uintptr_t)from;
	cs_buf_reserve (&m->bytes, cs__note__get_packed_size (note));
	m->bytes.n = cs__note__pack (note, (uint8_t *)m->bytes.p);
	return m;
}
