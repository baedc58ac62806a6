package org.cornelspoke.protocol.call;

import org.cornelspoke.coordination.admission.RoomReports;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * The client request at the root of a call chain, as far as the services below need to know it.
 *
 * @param account account whose key came with the root request
 * @param trafficClass class of the root request
 * @param admittedFraction fraction of the root requests of the class and account that was admitted
 *     when this one was; a called service needs it to tell the demand before refusals at the root
 */
public record RootOrigin(AccountId account, TrafficClass trafficClass, double admittedFraction) {

  /** Lower bound of the admitted fraction, which keeps probes going. */
  public static final double MIN_ADMITTED_FRACTION = RoomReports.MIN_FRACTION;

  /** Checks that the components are present and bounds the fraction. */
  public RootOrigin {
    Assert.notNull(account, "account");
    Assert.notNull(trafficClass, "trafficClass");
    Assert.isTrue(!Double.isNaN(admittedFraction), "admittedFraction must be a number");
    admittedFraction = Math.max(MIN_ADMITTED_FRACTION, Math.min(1, admittedFraction));
  }

  /** Creates the origin of a request at a root that refuses none. */
  public RootOrigin(AccountId account, TrafficClass trafficClass) {
    this(account, trafficClass, 1);
  }

  /**
   * Parses the text form, in which the fraction is not contained.
   *
   * @throws ProtocolException if the text is malformed
   */
  static RootOrigin parse(String text, double admittedFraction) throws ProtocolException {
    int space = text.indexOf(' ');
    try {
      return new RootOrigin(
          new AccountId(text.substring(space + 1)),
          TrafficClass.valueOf(text.substring(0, Math.max(0, space))),
          admittedFraction);
    } catch (IllegalArgumentException e) {
      throw new ProtocolException("malformed root origin", e);
    }
  }

  /** Returns the text form: class and account, without the fraction. */
  String format() {
    return trafficClass.name() + ' ' + account.value();
  }
}
