package org.cornelspoke.coordination.quota;

/**
 * Estimates the tokens per second that requests of an account take. The estimate is the lower one
 * of a short and a long average: return times are handed out where it is high, so one average alone
 * would be trusted just when it is too high by chance.
 */
final class TokenRateMeter {

  private static final double SHORT_SECONDS = 1;
  private static final double LONG_SECONDS = 4;
  private static final double NANOS_PER_SECOND = 1e9;

  private double shortPerSecond;
  private double longPerSecond;
  private long takenAtNanos;

  void onTaken(long nowNanos) {
    shortPerSecond = decayed(shortPerSecond, SHORT_SECONDS, nowNanos) + 1 / SHORT_SECONDS;
    longPerSecond = decayed(longPerSecond, LONG_SECONDS, nowNanos) + 1 / LONG_SECONDS;
    takenAtNanos = nowNanos;
  }

  double perSecond(long nowNanos) {
    return Math.min(
        decayed(shortPerSecond, SHORT_SECONDS, nowNanos),
        decayed(longPerSecond, LONG_SECONDS, nowNanos));
  }

  private double decayed(double perSecond, double averagingSeconds, long nowNanos) {
    if (perSecond == 0) {
      return 0;
    }
    double seconds = (nowNanos - takenAtNanos) / NANOS_PER_SECOND;
    return perSecond * Math.exp(-seconds / averagingSeconds);
  }
}
