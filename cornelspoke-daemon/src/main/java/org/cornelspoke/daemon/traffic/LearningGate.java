package org.cornelspoke.daemon.traffic;

import java.util.Optional;
import org.cornelspoke.coordination.admission.LearnedCapacity;
import org.cornelspoke.coordination.admission.UpstreamGate;

/**
 * A gate and what learns the capacity of its upstream.
 *
 * @param capacity empty if the capacity is not learned
 */
public record LearningGate(UpstreamGate gate, Optional<LearnedCapacity> capacity) {}
