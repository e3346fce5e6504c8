/* Constructors and destructors of the typed messages. */
#include "cs/messages.h"

#include <stdio.h>
#include <stdlib.h>

cs_outcome_t
cs_outcome_before_lookup (cs_str_t key)
{
	return key.n ? CS_MAY_HAVE_RUN : CS_NOT_RUN;
}

static char *
copy_string (const char *z)
{
	return cs_str_dup (cs_str (z));
}

static void
release_request (cs_request_t *r)
{
	if (r)
		cs_ref_put (&r->ref);
}

static void *
new_request_msg (size_t size, cs_msg_kind_t kind, cs_request_t *r, void (*drop) (cs_ref_t *))
{
	cs_request_msg_t *m = cs_msg_new (size, kind, drop);
	m->request = r;
	if (r)
		cs_ref_get (&r->ref);
	return m;
}

static void
drop_request_msg (cs_ref_t *ref)
{
	cs_request_msg_t *m = (cs_request_msg_t *)ref;
	release_request (m->request);
	free (m);
}

cs_request_msg_t *
cs_request_msg (cs_msg_kind_t kind, cs_request_t *request)
{
	return new_request_msg (sizeof (cs_request_msg_t), kind, request, drop_request_msg);
}

static void
drop_refuse (cs_ref_t *ref)
{
	cs_refuse_msg_t *m = (cs_refuse_msg_t *)ref;
	release_request (m->request);
	free (m->detail);
	free (m);
}

cs_refuse_msg_t *
cs_refuse_msg (cs_request_t *request, int status, const char *type, cs_outcome_t outcome,
	       int retry_after_s, const char *format, ...)
{
	cs_refuse_msg_t *m = new_request_msg (sizeof *m, CS_MSG_REFUSE, request, drop_refuse);
	va_list ap;
	va_start (ap, format);
	if (vasprintf (&m->detail, format, ap) < 0)
		m->detail = copy_string (type);
	va_end (ap);
	m->status = status;
	m->type = type;
	m->outcome = outcome;
	m->retry_after_s = retry_after_s;
	return m;
}

static void
drop_answer (cs_ref_t *ref)
{
	cs_answer_msg_t *m = (cs_answer_msg_t *)ref;
	release_request (m->request);
	free (m->content_type);
	cs_buf_finish (&m->bytes);
	free (m);
}

cs_answer_msg_t *
cs_answer_msg (cs_msg_kind_t kind, cs_request_t *request)
{
	return new_request_msg (sizeof (cs_answer_msg_t), kind, request, drop_answer);
}

cs_flow_msg_t *
cs_flow_msg (cs_request_t *request, bool paused)
{
	cs_flow_msg_t *m = new_request_msg (sizeof *m, CS_MSG_FLOW, request, drop_request_msg);
	m->paused = paused;
	return m;
}

static void
drop_waiting (cs_ref_t *ref)
{
	free (ref);
}

cs_waiting_msg_t *
cs_waiting_msg (size_t bytes)
{
	cs_waiting_msg_t *m = cs_msg_new (sizeof *m, CS_MSG_WAITING, drop_waiting);
	m->bytes = bytes;
	return m;
}

static void
drop_dispatch (cs_ref_t *ref)
{
	cs_dispatch_msg_t *m = (cs_dispatch_msg_t *)ref;
	release_request (m->request);
	free (m->url);
	free (m->group);
	free (m);
}

cs_dispatch_msg_t *
cs_dispatch_msg (cs_request_t *request)
{
	return new_request_msg (sizeof (cs_dispatch_msg_t), CS_MSG_DISPATCH, request,
				drop_dispatch);
}

static void
drop_attempt_end (cs_ref_t *ref)
{
	cs_attempt_end_msg_t *m = (cs_attempt_end_msg_t *)ref;
	release_request (m->request);
	free (m->content_type);
	cs_buf_finish (&m->body);
	free (m);
}

cs_attempt_end_msg_t *
cs_attempt_end_msg (cs_request_t *request)
{
	return new_request_msg (sizeof (cs_attempt_end_msg_t), CS_MSG_ATTEMPT_END, request,
				drop_attempt_end);
}

static void
drop_poll (cs_ref_t *ref)
{
	cs_poll_msg_t *m = (cs_poll_msg_t *)ref;
	free (m->vm);
	free (m->url);
	free (m);
}

cs_poll_msg_t *
cs_poll_msg (const char *vm, const char *url)
{
	cs_poll_msg_t *m = cs_msg_new (sizeof *m, CS_MSG_POLL_VM, drop_poll);
	m->vm = copy_string (vm);
	m->url = copy_string (url);
	return m;
}

static void
drop_report (cs_ref_t *ref)
{
	cs_report_msg_t *m = (cs_report_msg_t *)ref;
	free (m->vm);
	free (m->group);
	free (m->model);
	free (m);
}

cs_report_msg_t *
cs_report_msg (const char *vm)
{
	cs_report_msg_t *m = cs_msg_new (sizeof *m, CS_MSG_VM_REPORT, drop_report);
	m->vm = copy_string (vm);
	return m;
}

static void
drop_order (cs_ref_t *ref)
{
	cs_order_msg_t *m = (cs_order_msg_t *)ref;
	free (m->vm);
	free (m->url);
	free (m->group);
	free (m->model);
	free (m->version);
	free (m->members);
	free (m);
}

cs_order_msg_t *
cs_order_msg (const char *vm, const char *url)
{
	cs_order_msg_t *m = cs_msg_new (sizeof *m, CS_MSG_ORDER, drop_order);
	m->vm = copy_string (vm);
	m->url = copy_string (url);
	return m;
}

static void
drop_order_result (cs_ref_t *ref)
{
	cs_order_result_msg_t *m = (cs_order_result_msg_t *)ref;
	free (m->vm);
	free (m->group);
	free (m);
}

cs_order_result_msg_t *
cs_order_result_msg (const char *vm)
{
	cs_order_result_msg_t *m = cs_msg_new (sizeof *m, CS_MSG_ORDER_RESULT, drop_order_result);
	m->vm = copy_string (vm);
	return m;
}

static void
drop_append (cs_ref_t *ref)
{
	cs_append_msg_t *m = (cs_append_msg_t *)ref;
	free (m->stream);
	for (size_t i = 0; i < m->n; i++)
		cs_buf_finish (&m->records[i]);
	free (m->records);
	free (m);
}

cs_append_msg_t *
cs_append_msg (const char *stream, uint64_t ticket, const cs_str_t *records, size_t n)
{
	cs_append_msg_t *m = cs_msg_new (sizeof *m, CS_MSG_APPEND, drop_append);
	m->stream = copy_string (stream);
	m->ticket = ticket;
	m->records = cs_alloc (n * sizeof *m->records);
	m->n = n;
	for (size_t i = 0; i < n; i++)
		cs_buf_add (&m->records[i], records[i]);
	return m;
}

static void
drop_appended (cs_ref_t *ref)
{
	cs_appended_msg_t *m = (cs_appended_msg_t *)ref;
	free (m->stream);
	free (m);
}

cs_appended_msg_t *
cs_appended_msg (const char *stream, uint64_t ticket, cs_status_t status)
{
	cs_appended_msg_t *m = cs_msg_new (sizeof *m, CS_MSG_APPENDED, drop_appended);
	m->stream = copy_string (stream);
	m->ticket = ticket;
	m->status = status;
	return m;
}

static void
drop_follow (cs_ref_t *ref)
{
	cs_follow_msg_t *m = (cs_follow_msg_t *)ref;
	free (m->stream);
	free (m);
}

cs_follow_msg_t *
cs_follow_msg (const char *stream, uint64_t offset)
{
	cs_follow_msg_t *m = cs_msg_new (sizeof *m, CS_MSG_FOLLOW, drop_follow);
	m->stream = copy_string (stream);
	m->offset = offset;
	return m;
}

static void
drop_records (cs_ref_t *ref)
{
	cs_records_msg_t *m = (cs_records_msg_t *)ref;
	free (m->stream);
	free (m->records);
	cs_buf_finish (&m->storage);
	free (m);
}

cs_records_msg_t *
cs_records_msg (const char *stream, cs_status_t status)
{
	cs_records_msg_t *m = cs_msg_new (sizeof *m, CS_MSG_RECORDS, drop_records);
	m->stream = copy_string (stream);
	m->status = status;
	return m;
}

static void
drop_vms (cs_ref_t *ref)
{
	cs_vms_msg_t *m = (cs_vms_msg_t *)ref;
	for (size_t i = 0; i < m->n; i++) {
		free (m->vms[i].vm);
		free (m->vms[i].zone);
		free (m->vms[i].fabric_domain);
		free (m->vms[i].url);
	}
	free (m->vms);
	free (m);
}

cs_vms_msg_t *
cs_vms_msg (void)
{
	return cs_msg_new (sizeof (cs_vms_msg_t), CS_MSG_VMS, drop_vms);
}

static void
drop_peer_send (cs_ref_t *ref)
{
	cs_peer_send_msg_t *m = (cs_peer_send_msg_t *)ref;
	free (m->address);
	cs_buf_finish (&m->bytes);
	free (m);
}

cs_peer_send_msg_t *
cs_peer_send_msg (uint64_t incarnation, const char *address)
{
	cs_peer_send_msg_t *m = cs_msg_new (sizeof *m, CS_MSG_PEER_SEND, drop_peer_send);
	m->incarnation = incarnation;
	m->address = copy_string (address);
	return m;
}

static void
drop_peer_received (cs_ref_t *ref)
{
	cs_peer_received_msg_t *m = (cs_peer_received_msg_t *)ref;
	cs_buf_finish (&m->bytes);
	free (m);
}

cs_peer_received_msg_t *
cs_peer_received_msg (void)
{
	return cs_msg_new (sizeof (cs_peer_received_msg_t), CS_MSG_PEER_RECEIVED,
			   drop_peer_received);
}
