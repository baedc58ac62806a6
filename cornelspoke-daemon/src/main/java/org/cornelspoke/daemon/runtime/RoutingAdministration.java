package org.cornelspoke.daemon.runtime;

import io.activej.promise.Promise;
import java.util.Optional;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.RoutingDocument;

/** What operators do with the routing. Belongs to the control thread. */
public interface RoutingAdministration {

  /**
   * Submits a change until its outcome is known.
   *
   * @return fails if the outcome is not known within the time; the change may still be accepted
   */
  Promise<ChangeResult> submit(ChangeRequest request, long timeoutMillis);

  /**
   * Reads the document that is in force.
   *
   * @return empty if there is none; fails if no quorum confirms within the time that it is current
   */
  Promise<Optional<RoutingDocument>> read(long timeoutMillis);
}
