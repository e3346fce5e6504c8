#include "hosted.h"

#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cs/host_messages.h"
#include "cs/kernel.h"
#include "cs/log.h"
#include "cs/platform.h"

/* Interval at which the settings file is checked for a change that no SIGHUP announced. */
static const double settings_poll_s = 2.;

typedef struct {
	cs_kernel_t kernel;
	cs_host_t *host;
	ev_signal terminate;
	ev_signal interrupt;
	ev_signal reload;
	ev_stat settings;
} hosted_t;

static bool
load_settings (cs_host_t *h, const char *path, cs_buf_t *faults)
{
	cs_findings_t findings;
	cs_findings_init (&findings);
	cs_status_t status = cs_platform_settings_load (h, path, &findings);
	cs_findings_print (&findings, faults);
	cs_findings_finish (&findings);
	return status == CS_OK;
}

static void
send_to_all_tasks (hosted_t *d, int kind)
{
	for (cs_task_t *t = d->kernel.tasks; t; t = t->next)
		cs_send (NULL, t, cs_msg_new (sizeof (cs_msg_t), kind, cs_msg_free));
}

static void
on_stop_signal (struct ev_loop *loop, ev_signal *w, int events)
{
	hosted_t *d = w->data;
	(void)loop;
	(void)events;
	cs_log_event ("daemon", "stopping", "signal=%d", w->signum);
	send_to_all_tasks (d, CS_HOST_STOP);
}

/* Loads the settings file again and adopts the settings that may change in a running daemon. An
 * invalid file changes nothing. The cause is logged. */
static void
reload_settings (hosted_t *d, const char *cause)
{
	cs_host_t next;
	cs_buf_t text;
	cs_buf_init (&text);
	bool is_valid = load_settings (&next, cs_platform_settings_path (), &text);
	bool is_changed = is_valid && cs_host_apply_settings (d->host, &next, &text);
	cs_log_event ("daemon", "reloaded", "cause=%s sound=%d changes=\"%.300s\"", cause, is_valid,
		      text.n ? text.p : "");
	if (is_changed)
		send_to_all_tasks (d, CS_HOST_SETTINGS_CHANGED);
	cs_platform_settings_finish (&next);
	cs_buf_finish (&text);
}

static void
on_reload_signal (struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	reload_settings (w->data, "signal");
}

static void
on_settings_changed (struct ev_loop *loop, ev_stat *w, int events)
{
	(void)loop;
	(void)events;
	reload_settings (w->data, "file");
}

static void
watch_signal (hosted_t *d, ev_signal *w, int signal,
	      void (*cb) (struct ev_loop *, ev_signal *, int))
{
	ev_signal_init (w, cb, signal);
	w->data = d;
	ev_signal_start (d->kernel.loop, w);
}

/* Makes writes to the log non-blocking, so that a slow reader of the log never delays requests. */
static void
set_nonblocking (int fd)
{
	int flags = fcntl (fd, F_GETFL);
	if (flags < 0 || fcntl (fd, F_SETFL, flags | O_NONBLOCK) < 0)
		fprintf (stderr,
			 "cornelspindled: cannot make the log non-blocking, log writes may delay "
			 "requests: %s\n",
			 strerror (errno));
}

static int
run_daemon (cs_host_t *h)
{
	hosted_t d;
	int result = 0;
	if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_NOTHING))
		return 1;
	signal (SIGPIPE, SIG_IGN);
	set_nonblocking (STDOUT_FILENO);
	cs_kernel_init (&d.kernel, h);
	d.host = h;
	d.kernel.profile = CS_PROFILE_HOSTED;
	watch_signal (&d, &d.terminate, SIGTERM, on_stop_signal);
	watch_signal (&d, &d.interrupt, SIGINT, on_stop_signal);
	watch_signal (&d, &d.reload, SIGHUP, on_reload_signal);
	ev_stat_init (&d.settings, on_settings_changed, cs_platform_settings_path (),
		      settings_poll_s);
	d.settings.data = &d;
	ev_stat_start (d.kernel.loop, &d.settings);
	if (cs_log_init (h->name, CS_LOG_INFO, STDOUT_FILENO) != CS_OK ||
	    cs_kernel_start (&d.kernel) != CS_OK) {
		fprintf (stderr, "cornelspindled: %s\n", cs_last_error_message ());
		result = 1;
	} else {
		cs_log_event ("daemon", "started", "version=%s zone=%s callers=%s store=%s",
			      CS_VERSION, h->zone, h->listen_callers, h->store_address);
		cs_kernel_run (&d.kernel);
	}
	cs_kernel_finish (&d.kernel);
	cs_log_finish ();
	curl_global_cleanup ();
	return result;
}

int
cs_hosted_main (bool check)
{
	const char *path = cs_platform_settings_path ();
	cs_host_t host;
	cs_buf_t faults;
	if (!path) {
		fputs ("cornelspindled: the platform gives no path of a settings file\n", stderr);
		return 1;
	}
	cs_buf_init (&faults);
	bool is_valid = load_settings (&host, path, &faults);
	if (faults.n)
		fputs (faults.p, stderr);
	cs_buf_finish (&faults);
	int result = is_valid ? 0 : 1;
	if (is_valid && check)
		printf ("%s: valid\n", path);
	else if (is_valid)
		result = run_daemon (&host);
	cs_platform_settings_finish (&host);
	return result;
}
