package org.cornelspoke.coordination.dissemination;

import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.registry.Target;

/**
 * Registers the local upstream with the control group. Publication is repeated after a lost
 * connection until it is withdrawn. Safe for use by any thread.
 */
public interface TargetPublisher {

  /** Registers the target or replaces its registration. */
  void publish(Target target);

  /** Removes the registration. Does nothing if there is none. */
  void withdraw(TargetId target);
}
