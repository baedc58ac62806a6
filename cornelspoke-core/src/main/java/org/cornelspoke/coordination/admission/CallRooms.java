package org.cornelspoke.coordination.admission;

import java.util.OptionalDouble;
import org.cornelspoke.model.ServiceName;

/**
 * The fractions that the calls of one running request reported: the minimum over the called
 * services of the mean over successive calls to one of them.
 *
 * <p>Calls to one service reach several of its targets, whose measurements differ by chance. The
 * minimum over them would be too low and leave capacity unused.
 */
public final class CallRooms {

  private double earlierMin = Double.POSITIVE_INFINITY;
  private ServiceName service;
  private double sum;
  private int count;

  /** Records the fraction that was reported at the end of a call; other numbers are bounded. */
  public void add(ServiceName calledService, double room) {
    if (Double.isNaN(room)) {
      return;
    }
    if (!calledService.equals(service)) {
      earlierMin = min();
      service = calledService;
      sum = 0;
      count = 0;
    }
    sum += Math.max(RoomReports.MIN_FRACTION, Math.min(1, room));
    count++;
  }

  /** Returns the fraction to pass on, or empty if no call reported one. */
  public OptionalDouble room() {
    double min = min();
    return min == Double.POSITIVE_INFINITY ? OptionalDouble.empty() : OptionalDouble.of(min);
  }

  private double min() {
    return count == 0 ? earlierMin : Math.min(earlierMin, sum / count);
  }
}
