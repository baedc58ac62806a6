package org.cornelspoke.daemon.traffic;

import org.cornelspoke.transport.http.HttpHandler;

/** Creates the handler of the address at which the upstream announces itself. */
public interface LocalApiFactory {

  /** Returns a handler that reports to the registration. */
  HttpHandler create(UpstreamRegistration registration);
}
