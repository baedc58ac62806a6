package org.cornelspoke.protocol.call;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/**
 * Header lines that carry metadata on links between daemons. Metadata has no fields of its own,
 * because daemons of earlier builds reject messages with further fields but ignore unknown headers.
 */
final class MetadataHeaders {

  private static final String NOTICE = "cornelspoke-upstream-notice";
  private static final String COLD_REMAINING = "cornelspoke-upstream-cold";
  private static final String ESTIMATE = "cornelspoke-target-estimate";
  private static final String ROOT = "cornelspoke-root";
  private static final String ROOM = "cornelspoke-room";

  /** A line of its own, left out for a fraction of 1. */
  private static final String ROOT_ADMITTED = "cornelspoke-root-admitted";

  private static final String[] NAMES = {
    NOTICE, COLD_REMAINING, ESTIMATE, ROOT, ROOT_ADMITTED, ROOM
  };

  /** Decimal places of a fraction in the text form. */
  private static final int FRACTION_DECIMALS = 3;

  private static final Pattern FRACTION_TEXT = Pattern.compile("[01](?:\\.[0-9]{1,6})?");

  private MetadataHeaders() {}

  /** Returns the headers with the lines of the metadata, as far as they fit. */
  static Headers add(Headers headers, CallMetadata metadata) {
    Map<String, String> lines = new LinkedHashMap<>();
    metadata.targetNotice().ifPresent(notice -> putNotice(lines, notice));
    metadata.targetEstimate().ifPresent(estimate -> lines.put(ESTIMATE, estimate.format()));
    metadata.root().ifPresent(root -> addRoot(lines, root));
    return add(headers, lines);
  }

  /** Returns the headers with the lines of the metadata, as far as they fit. */
  static Headers add(Headers headers, ReplyMetadata metadata) {
    Map<String, String> lines = new LinkedHashMap<>();
    metadata.targetNotice().ifPresent(notice -> putNotice(lines, notice));
    metadata.targetEstimate().ifPresent(estimate -> lines.put(ESTIMATE, estimate.format()));
    metadata.room().ifPresent(room -> lines.put(ROOM, formatFraction(room)));
    return add(headers, lines);
  }

  /**
   * Reads the metadata of a call.
   *
   * @throws ProtocolException if a line is malformed
   */
  static CallMetadata readCall(Headers headers) throws ProtocolException {
    return new CallMetadata(notice(headers), estimate(headers), root(headers));
  }

  /**
   * Reads the metadata of a reply.
   *
   * @throws ProtocolException if a line is malformed
   */
  static ReplyMetadata readReply(Headers headers) throws ProtocolException {
    return new ReplyMetadata(notice(headers), estimate(headers), fraction(headers, ROOM));
  }

  /** Returns the headers without the lines that carry metadata. */
  static Headers strip(Headers headers) {
    boolean found = false;
    for (String name : NAMES) {
      found |= headers.find(name) >= 0;
    }
    if (!found) {
      return headers;
    }
    Headers.Builder lines = new Headers.Builder();
    for (int line = 0; line < headers.size(); line++) {
      if (!isMetadata(headers, line)) {
        lines.addLine(headers, line);
      }
    }
    return lines.build();
  }

  private static Headers add(Headers headers, Map<String, String> lines) {
    if (lines.isEmpty() || headers.size() + lines.size() > Headers.MAX_LINES) {
      return headers;
    }
    Headers.Builder all = new Headers.Builder();
    for (int line = 0; line < headers.size(); line++) {
      all.addLine(headers, line);
    }
    lines.forEach(all::add);
    return all.build();
  }

  private static boolean isMetadata(Headers headers, int line) {
    for (String name : NAMES) {
      if (headers.nameIs(line, name)) {
        return true;
      }
    }
    return false;
  }

  private static Optional<TargetNotice> notice(Headers headers) throws ProtocolException {
    String text = headers.get(NOTICE);
    if (text == null) {
      return Optional.empty();
    }
    TargetNotice notice = TargetNotice.parse(text);
    String coldRemaining = headers.get(COLD_REMAINING);
    return Optional.of(coldRemaining == null ? notice : notice.withColdRemaining(coldRemaining));
  }

  private static void putNotice(Map<String, String> lines, TargetNotice notice) {
    lines.put(NOTICE, notice.format());
    notice
        .notice()
        .coldRemainingMillis()
        .ifPresent(millis -> lines.put(COLD_REMAINING, Long.toString(millis)));
  }

  private static Optional<TargetEstimate> estimate(Headers headers) throws ProtocolException {
    String text = headers.get(ESTIMATE);
    return text == null ? Optional.empty() : Optional.of(TargetEstimate.parse(text));
  }

  private static Optional<RootOrigin> root(Headers headers) throws ProtocolException {
    String text = headers.get(ROOT);
    return text == null
        ? Optional.empty()
        : Optional.of(RootOrigin.parse(text, fraction(headers, ROOT_ADMITTED).orElse(1)));
  }

  private static void addRoot(Map<String, String> lines, RootOrigin root) {
    lines.put(ROOT, root.format());
    if (root.admittedFraction() < 1) {
      lines.put(ROOT_ADMITTED, formatFraction(root.admittedFraction()));
    }
  }

  private static OptionalDouble fraction(Headers headers, String name) throws ProtocolException {
    String text = headers.get(name);
    if (text == null) {
      return OptionalDouble.empty();
    }
    double fraction = FRACTION_TEXT.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
    if (!(fraction >= 0 && fraction <= 1)) {
      throw new ProtocolException("malformed " + name);
    }
    return OptionalDouble.of(fraction);
  }

  private static String formatFraction(double fraction) {
    return BigDecimal.valueOf(fraction)
        .setScale(FRACTION_DECIMALS, RoundingMode.DOWN)
        .toPlainString();
  }
}
