package org.cornelspoke.daemon.runtime;

import io.activej.promise.Promise;
import java.util.Optional;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.RoutingDocument;

/**
 * Reads and changes the routing configuration and the quarantine on behalf of operators. Must be
 * used on the control thread only.
 */
public interface RoutingAdministration {

  /**
   * Submits a change and waits for its outcome.
   *
   * @return fails if the outcome is not known within the timeout; the change may still be accepted
   */
  Promise<ChangeResult> submit(ChangeRequest request, long timeoutMillis);

  /**
   * Submits an order without a request id: a change that has no further effect if it is accepted
   * again. An order whose outcome was not known in time takes no effect after a later change has
   * been accepted.
   *
   * @return fails if the outcome is not known within the timeout; the order may still be accepted
   */
  Promise<ChangeResult> submitOrder(OperatorId operator, ConfigChange order, long timeoutMillis);

  /**
   * Reads the routing document that is in effect.
   *
   * @return empty if there is none; fails if no quorum confirms within the timeout that it is
   *     current
   */
  Promise<Optional<RoutingDocument>> read(long timeoutMillis);

  /**
   * Reads the requests that have run in crashes of upstreams, as a JSON object.
   *
   * @return fails if no quorum confirms within the timeout that they are current
   */
  Promise<String> readQuarantine(long timeoutMillis);

  /**
   * Releases a request that is refused because it crashes upstreams.
   *
   * @return true also if the request is already released, false if there is no evidence against it;
   *     fails if the outcome is not known within the timeout
   */
  Promise<Boolean> release(RequestFingerprint fingerprint, OperatorId operator, long timeoutMillis);
}
