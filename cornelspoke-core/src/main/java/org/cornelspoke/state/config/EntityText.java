package org.cornelspoke.state.config;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.StringJoiner;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.TrafficClass;

/**
 * Text forms of entities. They are part of the replicated state, so they must not depend on the
 * iteration order of a map or on the default locale, which differ between processes. The formats
 * use {@code %s} only, because {@code %d} takes its digits from the locale.
 */
final class EntityText {

  /** Keeps an entry of the audit trail small, whatever an operator puts into a path. */
  private static final int MAX_AUDIT_CHARS = 2_048;

  private EntityText() {}

  /** Describes an entity for the audit trail, without secrets and hashes. */
  static String forAudit(ConfigEntity entity) {
    String text = describe(entity);
    return text.length() <= MAX_AUDIT_CHARS ? text : text.substring(0, MAX_AUDIT_CHARS) + "...";
  }

  /** Returns a digest that differs for different changes or operators. */
  static String digest(OperatorId operator, ConfigChange change) {
    String text = operator + " " + change.getClass().getSimpleName() + " " + identity(change);
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  private static String identity(ConfigChange change) {
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
              parts(route),
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
    return "present";
  }

  private static String parts(Route route) {
    if (route.services().size() == 1) {
      return route.service().value();
    }
    StringJoiner text = new StringJoiner("+");
    route.services().forEach(part -> text.add(part.service() + ":" + part.weight()));
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
