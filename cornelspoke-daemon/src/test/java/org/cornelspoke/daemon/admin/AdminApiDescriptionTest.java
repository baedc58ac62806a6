package org.cornelspoke.daemon.admin;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Guards against operations in the API description that the server does not implement. */
class AdminApiDescriptionTest {

  private static final Path DESCRIPTION = Path.of("..", "docs", "admin-api.yaml");
  private static final Pattern PATH_LINE = Pattern.compile("  (/\\S+):");
  private static final Pattern METHOD_LINE = Pattern.compile("    (get|put|post|delete):.*");

  @Test
  void describesOnlyImplementedOperations() throws Exception {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    List<String> operations = operations();
    assertThat(operations).hasSize(39);
    try (AdminServerFixture server = new AdminServerFixture()) {
      for (String operation : operations) {
        String[] methodAndPath = operation.split(" ", 2);
        // With an invalid id an existing path returns 400, and only a missing path 404.
        URI uri =
            URI.create("http://" + server.endpoint() + methodAndPath[1].replace("{id}", "NONE"));
        HttpRequest request =
            HttpRequest.newBuilder(uri)
                .method(methodAndPath[0], BodyPublishers.noBody())
                .header("Authorization", "Bearer " + FakeAdminBackend.TOKEN)
                .header("Request-Id", "r1")
                .build();
        HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
        assertWithMessage(operation).that(response.body()).doesNotContain("no such path");
        assertWithMessage(operation).that(response.statusCode()).isNotEqualTo(405);
        assertWithMessage(operation).that(response.statusCode()).isNotEqualTo(500);
      }
    }
  }

  private static List<String> operations() throws Exception {
    List<String> operations = new ArrayList<>();
    String path = "";
    for (String line : Files.readAllLines(DESCRIPTION)) {
      Matcher pathLine = PATH_LINE.matcher(line);
      Matcher methodLine = METHOD_LINE.matcher(line);
      if (pathLine.matches()) {
        path = pathLine.group(1);
      } else if (methodLine.matches()) {
        operations.add(methodLine.group(1).toUpperCase(Locale.ROOT) + " " + path);
      }
    }
    return operations;
  }
}
