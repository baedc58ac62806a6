package org.cornelspoke.daemon.traffic;

import org.cornelspoke.transport.http.HttpHandler;

/** Creates the HTTP handler through which upstreams announce themselves. */
public interface LocalApiFactory {

  /** Returns a handler that passes announcements to the given registration. */
  HttpHandler create(UpstreamRegistration registration);
}
