package org.cornelspoke.ctl;

import static com.google.common.truth.Truth.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import org.cornelspoke.ctl.ToolRunner.Result;
import org.cornelspoke.daemon.admin.AdminServerFixture;
import org.cornelspoke.daemon.admin.FakeAdminBackend;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Guards against keys and tokens in log lines or the audit trail. */
class SecrecyTest {

  // The root logger stays at WARN as in the tool's configuration, because the JDK's HTTP client
  // logs headers at lower levels.
  private static final List<String> LOGGERS = List.of("org.cornelspoke", "io.activej");

  private final ListAppender<ILoggingEvent> appender = new ListAppender<>();

  @BeforeEach
  void capture() {
    appender.start();
    logger(org.slf4j.Logger.ROOT_LOGGER_NAME).addAppender(appender);
    LOGGERS.forEach(name -> logger(name).setLevel(Level.TRACE));
  }

  @AfterEach
  void release() {
    logger(org.slf4j.Logger.ROOT_LOGGER_NAME).detachAppender(appender);
    LOGGERS.forEach(name -> logger(name).setLevel(null));
  }

  @Test
  void keepsKeysAndTokensOutOfLogsAndAuditTrail() throws Exception {
    StringBuilder audit = new StringBuilder();
    String key;
    String token;
    try (AdminServerFixture server = new AdminServerFixture()) {
      ToolRunner tool = new ToolRunner(server.endpoint());
      tool.run("account create fair --rate 10 --burst 20");
      Result given = tool.run("key give fair --key-id k1 --json");
      key = given.json().path("key").asText();
      token = tool.run("operator set second --json").json().path("token").asText();
      new ToolRunner(server.endpoint(), token).run("key withdraw k1");
      new ToolRunner(server.endpoint(), key).run("status");
      // An unexpected failure of the backend is logged with its stack trace.
      server.onBackend(
          backend ->
              backend.beforeSubmit =
                  () -> {
                    throw new IllegalStateException("unexpected failure");
                  });
      tool.run("key give fair --timeout-millis 50");
      server.onBackend(backend -> audit.append(backend.auditTrail()));
      audit.append(tool.run("audit").out()).append(tool.run("config show").out());
    }
    StringBuilder log = new StringBuilder();
    for (ILoggingEvent event : List.copyOf(appender.list)) {
      log.append(event.getFormattedMessage()).append(event.getThrowableProxy()).append('\n');
    }
    assertThat(log.toString()).contains("administration request failed");
    assertThat(key).startsWith("csk_");
    for (String secret : List.of(key, token, FakeAdminBackend.TOKEN)) {
      assertThat(audit.toString()).doesNotContain(secret);
      assertThat(log.toString()).doesNotContain(secret);
    }
    assertThat(log.toString()).doesNotContain("csk_");
    assertThat(log.toString()).doesNotContain("Bearer");
  }

  private static Logger logger(String name) {
    return (Logger) LoggerFactory.getLogger(name);
  }
}
