package org.shoreusher.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.settings.Settings;
import org.shoreusher.wire.FieldMap;

/**
 * Requests whose text is not UTF-8, sent to a whole controller over loopback. Guards against a
 * malformed request that is never answered and blocks all submissions after it.
 */
class MalformedRequestsTest {
    private static final String PLACEHOLDER = "IMAGE";

    /** Five bytes like the placeholder; the last three are half a surrogate pair. */
    private static final String MALFORMED_TEXT_HEX = "6161eda0bd";

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** More than the writes that may be in flight, so that leaked ones would block the next. */
    private static final int MALFORMED_REQUESTS = 8;

    private final HttpClient client = HttpClient.newHttpClient();

    /** Malformed submissions and heartbeats get 400; the proper jobs after them run. */
    @Example
    void malformedTextIsRejectedAndBlocksNothing() throws Exception {
        try (ControllerSmokeCheck smokeCheck = new ControllerSmokeCheck()) {
            Settings settings =
                    Settings.parse(smokeCheck.settingsJson().getBytes(StandardCharsets.UTF_8));
            RunningController.runDuring(settings, () -> sendRequests(settings, smokeCheck));
        }
    }

    private void sendRequests(Settings settings, ControllerSmokeCheck smokeCheck)
            throws IOException, InterruptedException {
        smokeCheck.awaitReady();
        for (int i = 0; i < MALFORMED_REQUESTS; i++) {
            assertEquals(400, post(settings, "/v2/runs", submission(i)));
            assertEquals(400, post(settings, "/hello", heartbeat(i)));
        }
        smokeCheck.run();
    }

    private int post(Settings settings, String path, byte[] body)
            throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + settings.frontAddress() + path))
                        .timeout(TIMEOUT)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private static byte[] submission(int number) {
        Map<String, Object> job =
                new HashMap<>(ControllerSmokeCheck.job("wk-10" + number, "sweep", 5));
        job.put("plate", PLACEHOLDER);
        return withMalformedText(job);
    }

    private static byte[] heartbeat(int number) {
        return withMalformedText(
                Map.of(
                        "box",
                        "host-" + number,
                        "press",
                        PLACEHOLDER,
                        "yard",
                        "z",
                        "shift",
                        1L,
                        "tally",
                        1L));
    }

    /** Encodes a message, and replaces the placeholder by text that is cut within a character. */
    private static byte[] withMalformedText(Map<String, Object> message) {
        HexFormat hex = HexFormat.of();
        String placeholder = hex.formatHex(PLACEHOLDER.getBytes(StandardCharsets.US_ASCII));
        return hex.parseHex(
                hex.formatHex(FieldMap.toCbor(message)).replace(placeholder, MALFORMED_TEXT_HEX));
    }
}
