package org.cornelspoke.state.config;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.StringJoiner;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.TrafficClass;

/**
 * Text representations of entities. They are part of the replicated state, so they must not depend
 * on map iteration order or the default locale, which differ between processes. The formats use
 * {@code %s} only, because {@code %d} formats digits according to the locale.
 */
final class EntityText {

  /** Bounds the size of an audit entry, because operators can configure paths of any length. */
  private static final int MAX_AUDIT_CHARS = 2_048;

  private EntityText() {}

  /** Returns the description of an entity for the audit trail, without secrets and hashes. */
  static String forAudit(ConfigEntity entity) {
    String text = describe(entity);
    return text.length() <= MAX_AUDIT_CHARS ? text : text.substring(0, MAX_AUDIT_CHARS) + "...";
  }

  /** Returns a digest that distinguishes different changes and operators. */
  static String digest(OperatorId operator, ConfigChange change) {
    String text = operator + " " + change.getClass().getSimpleName() + " " + digestText(change);
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  private static String digestText(ConfigChange change) {
    if (change instanceof ConfigChange.SetPreset set) {
      return describe(set.preset());
    }
    return change.toString();
  }

  private static String describe(ConfigEntity entity) {
    if (entity instanceof Account account) {
      return "rate=%s burst=%s weight=%s"
          .formatted(account.rateTokensPerSecond(), account.burstTokens(), account.weight());
    }
    if (entity instanceof ClientKey key) {
      return "account=" + key.account();
    }
    if (entity instanceof Route route) {
      return "%s %s%s service=%s class=%s open=%s repeatable=%s timeoutMillis=%s"
          .formatted(
              route.method(),
              route.host(),
              route.pathPrefix(),
              services(route),
              route.trafficClass(),
              route.open(),
              route.repeatable(),
              route.timeoutMillis());
    }
    if (entity instanceof Preset preset) {
      return describePreset(preset);
    }
    if (entity instanceof ActivePreset active) {
      return active.name().value();
    }
    if (entity instanceof ContextSecret secret) {
      return "number=" + secret.number();
    }
    if (entity instanceof RoutingDocument document) {
      return "version=" + document.version();
    }
    if (entity instanceof ServicePolicy policy) {
      return "coldStartMillis=%s coldRequestsPerSecond=%s"
          .formatted(policy.coldStartMillis(), policy.coldRequestsPerSecond());
    }
    if (entity instanceof DataCentreEvacuation evacuation) {
      return "startedAtMillis=" + evacuation.startedAtMillis();
    }
    return "present";
  }

  private static String services(Route route) {
    if (route.services().size() == 1) {
      return route.service().value();
    }
    StringJoiner text = new StringJoiner("+");
    route.services().forEach(service -> text.add(service.service() + ":" + service.weight()));
    return text.toString();
  }

  private static String describePreset(Preset preset) {
    StringBuilder text = new StringBuilder();
    text.append(
        "%s retryBudget=%s retryRatio=%s newestFirstAfterMillis=%s"
            .formatted(
                preset.name(),
                preset.retryBudget(),
                preset.retryRatio(),
                preset.newestFirstAfterMillis()));
    for (TrafficClass trafficClass : TrafficClass.values()) {
      ClassPolicy policy = preset.policyOf(trafficClass);
      text.append(
          " %s=(slotShare=%s queueLimit=%s queueTimeoutMillis=%s refused=%s)"
              .formatted(
                  trafficClass.name().toLowerCase(Locale.ROOT),
                  policy.slotShare(),
                  policy.queueLimit(),
                  policy.queueTimeoutMillis(),
                  policy.refused()));
    }
    return text.toString();
  }
}
