package org.cornelspoke.daemon.admin;

import java.util.EnumMap;
import java.util.Map;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.ClientKey;
import org.cornelspoke.state.config.Operator;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.util.Assert;

/** Parses request bodies into configuration entities. */
final class ConfigEntityParser {

  private ConfigEntityParser() {}

  static Account newAccount(JsonBody body) throws ApiException {
    return account(body.textAs("id", AccountId::new), body);
  }

  static Account account(AccountId id, JsonBody body) throws ApiException {
    return new Account(
        id, body.doubleValue("rateTokensPerSecond"), body.doubleValue("burstTokens"), weight(body));
  }

  static ClientKey key(AccountId account, JsonBody body) throws ApiException {
    return new ClientKey(
        body.textAs("id", KeyId::new),
        account,
        body.textAs("keyHashHex", ConfigEntityParser::checkHash));
  }

  static Operator operator(OperatorId id, JsonBody body) throws ApiException {
    return new Operator(id, body.textAs("tokenHashHex", ConfigEntityParser::checkHash));
  }

  static Route route(RouteId id, JsonBody body) throws ApiException {
    return new Route(
        id,
        body.text("method"),
        body.text("pathPrefix"),
        body.textAs("service", ServiceName::new),
        body.enumConstant("trafficClass", TrafficClass.class),
        body.booleanValue("open"),
        body.booleanValue("repeatable"),
        body.longValue("timeoutMillis"));
  }

  static Preset preset(PresetName name, JsonBody body) throws ApiException {
    JsonBody classes = body.object("classes");
    Map<TrafficClass, ClassPolicy> policies = new EnumMap<>(TrafficClass.class);
    for (TrafficClass trafficClass : TrafficClass.values()) {
      JsonBody policy = classes.object(trafficClass.name());
      policies.put(
          trafficClass,
          new ClassPolicy(
              policy.doubleValue("slotShare"),
              policy.intValue("queueLimit"),
              policy.longValue("queueTimeoutMillis"),
              policy.booleanValue("refused")));
      policy.rejectUnknownFields();
    }
    classes.rejectUnknownFields();
    return new Preset(
        name,
        body.intValue("retryBudget"),
        body.doubleValue("retryRatio"),
        body.longValue("newestFirstAfterMillis"),
        policies);
  }

  private static int weight(JsonBody body) throws ApiException {
    return body.intValue("weight", 1);
  }

  private static String checkHash(String text) {
    // The message must not contain the text: a client may have sent the key or token itself.
    Assert.isTrue(
        text.matches("[0-9a-f]{64}"), "must be a SHA-256 hash in 64 lower-case hexadecimal digits");
    return text;
  }
}
