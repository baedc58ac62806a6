package org.cornelspoke.coordination.dissemination;

import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.registry.Target;

/**
 * Registers the local upstream with the control group. The registration is sent again after each
 * reconnect until the target is withdrawn. Thread-safe.
 */
public interface TargetPublisher {

  /** Registers the target or replaces its registration. */
  void publish(Target target);

  /** Removes the registration, if there is one. */
  void withdraw(TargetId target);
}
