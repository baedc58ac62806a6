package org.cornelspoke.protocol.call;

import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.util.Assert;

/**
 * The client request at the root of a call chain, as far as the services below need to know it.
 *
 * @param account account whose key came with the root request
 * @param trafficClass class of the root request
 */
public record RootOrigin(AccountId account, TrafficClass trafficClass) {

  /** Checks that the components are present. */
  public RootOrigin {
    Assert.notNull(account, "account");
    Assert.notNull(trafficClass, "trafficClass");
  }

  /**
   * Parses the text form.
   *
   * @throws ProtocolException if the text is malformed
   */
  static RootOrigin parse(String text) throws ProtocolException {
    int space = text.indexOf(' ');
    try {
      return new RootOrigin(
          new AccountId(text.substring(space + 1)),
          TrafficClass.valueOf(text.substring(0, Math.max(0, space))));
    } catch (IllegalArgumentException e) {
      throw new ProtocolException("malformed root origin", e);
    }
  }

  /** Returns the text form: class and account. */
  String format() {
    return trafficClass.name() + ' ' + account.value();
  }
}
