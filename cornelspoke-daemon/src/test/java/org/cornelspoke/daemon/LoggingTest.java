package org.cornelspoke.daemon;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.AppenderAttachable;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.slf4j.Logger;
import org.slf4j.MDC;

class LoggingTest {

  /** Guards against JSON log lines that a log collector cannot parse. */
  @Test
  void writesOneJsonObjectPerLine() throws Exception {
    String line = encode("logback-json.xml", "a \"quoted\"\nmessage");
    assertThat(line.strip()).doesNotContain("\n");
    JsonNode node = new JsonMapper().readTree(line);
    assertThat(node.path("formattedMessage").asText()).isEqualTo("a \"quoted\"\nmessage");
    assertThat(node.path("level").asText()).isEqualTo("WARN");
    assertThat(node.path("throwable").path("message").asText()).isEqualTo("cause");
  }

  /** Guards against text log lines without time, level or message. */
  @Test
  void writesTextLines() throws Exception {
    assertThat(encode("logback-text.xml", "started"))
        .containsMatch("^1970-01-01T00:00:01.000Z WARN .*LoggingTest - started\n");
  }

  private static String encode(String resource, String message) throws Exception {
    LoggerContext context = new LoggerContext();
    context.setMDCAdapter(MDC.getMDCAdapter());
    JoranConfigurator configurator = new JoranConfigurator();
    configurator.setContext(context);
    configurator.doConfigure(LoggingTest.class.getResource(resource));
    ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    // The JSON configuration logs asynchronously, so that a slow reader does not block the caller.
    AppenderAttachable<ILoggingEvent> attached =
        root.getAppender("ASYNC") instanceof AsyncAppender async ? async : root;
    ConsoleAppender<ILoggingEvent> appender =
        (ConsoleAppender<ILoggingEvent>) attached.getAppender("CONSOLE");
    LoggingEvent event =
        new LoggingEvent(
            "",
            context.getLogger(LoggingTest.class),
            Level.WARN,
            message,
            new IllegalStateException("cause"),
            null);
    event.setInstant(Instant.ofEpochSecond(1));
    event.setThreadName("main");
    byte[] bytes = appender.getEncoder().encode(event);
    context.stop();
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
