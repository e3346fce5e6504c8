#include <sys/socket.h>

#include "cs/httpd.h"

static void
on_input (struct ev_loop *loop, ev_io *w, int events)
{
	cs_httpd_disconnect_watch_t *l = w->data;
	char byte;
	ssize_t n = recv (w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	(void)events;
	ev_io_stop (loop, w);
	if (n <= 0)
		l->on_disconnect (l->data);
}

void
cs_httpd_disconnect_watch_start (cs_httpd_disconnect_watch_t *l, struct ev_loop *loop,
				 struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	ev_io_init (&l->io, on_input, info->connect_fd, EV_READ);
	l->io.data = l;
	ev_io_start (loop, &l->io);
}

void
cs_httpd_disconnect_watch_stop (cs_httpd_disconnect_watch_t *l, struct ev_loop *loop)
{
	if (ev_is_active (&l->io))
		ev_io_stop (loop, &l->io);
}
