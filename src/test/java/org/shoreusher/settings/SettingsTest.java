package org.shoreusher.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.Example;

/** Reading and validation of the settings file. */
class SettingsTest {
    static final String VALID =
            """
            {"host_name":"n-0","zone":"a","front":"127.0.0.1:8080",
             "back":"127.0.0.1:8081","new":{"x":1},
             "members":[{"host_name":"n-1","zone":"b","peer_addr":"127.0.0.2:8081"}],
             "endpoints":{"cloud":"127.0.0.3:1","state":"127.0.0.3:2"},
             "deployment":{"count":2,"zones":["a","b"],
              "teams":[{"name":"t","cpus":1.0,"cpus_max":2,"gpus":0.0,"gpus_max":0.0}],
              "objectives":[{"kind":"guarantee","within_s":15.0,"share":0.8}],
              "workers":{"report_s":2.5,"lease_s":16.0,"cancel_s":36.0},
              "state":{"rps":200.0,"write_rps":25.0,"value_kb":8.0,"txn_ops":20},
              "cloud":{"rps":5.0,"list_lag_s":5.0},
              "limits":{"cpu_share":0.17,"ram_mb":176.0,"sockets":1500},
              "clock_off_ms":25.0}}\
            """;

    static Settings parse(String text) throws InvalidSettingsException {
        return Settings.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @Example
    void readsThePlatformSettings() throws InvalidSettingsException {
        Settings settings = parse(VALID);
        assertEquals(new Settings.Address("127.0.0.2", 8081), settings.members().get(0).address());
        assertEquals(8192, settings.maxValueBytes());
        assertEquals(2, settings.teams().get("t").maxCpus());
    }

    /**
     * Guards against reading a quota of 0 as no CPUs instead of no quota: a deployment stated 0 in
     * every field of its only team, and every job was rejected permanently.
     */
    @Example
    void zeroOrMissingQuotaMeansNoLimit() throws InvalidSettingsException {
        String given = "\"cpus\":1.0,\"cpus_max\":2,\"gpus\":0.0,\"gpus_max\":0.0";
        for (String noQuota :
                new String[] {
                    "\"cpus\":0.0,\"cpus_max\":0.0,\"gpus\":0.0,\"gpus_max\":0.0",
                    "\"cpus\":null,\"cpus_max\":null,\"gpus\":null,\"gpus_max\":null",
                    "\"x\":1",
                    "\"cpus\":5,\"cpus_max\":0"
                }) {
            Settings.Team team = parse(VALID.replace(given, noQuota)).teams().get("t");
            assertEquals(Double.POSITIVE_INFINITY, team.maxCpus(), noQuota);
            assertEquals(Double.POSITIVE_INFINITY, team.maxGpus(), noQuota);
        }
    }

    @Example
    void namesTheInvalidField() {
        // The text that is replaced, its replacement, and a part of the message.
        String[][] cases = {
            {"\"zone\":\"a\",", "\"zone\":1,", "zone must be text; found 1"},
            {"127.0.0.1:8080", "here", "front"},
            {"\"lease_s\":16.0", "\"lease_s\":1.0", "lease_s"},
            {"\"txn_ops\":20", "\"txn_ops\":2", "txn_ops"},
            {"{\"host_name\":\"n-0\"", "{\"host_name\":", "JSON"},
            {"\"clock_off_ms\":25.0", "\"clock_off_ms\":5000", "clock_off_ms"},
            {"\"rps\":200.0", "\"rps\":0", "state.rps"},
            {"\"cpus_max\":2", "\"cpus_max\":-2", "cpus_max"},
            {"\"cpus_max\":2", "\"cpus_max\":0.5", "cpus of team t"},
            {"\"cpus_max\":2", "\"cpus_max\":\"2\"", "cpus_max"},
            {"\"cpus\":1.0", "\"cpus\":-1.0", "cpus of team t"},
            {"\"write_rps\":25.0,", "", "write_rps must be a number; it is missing"},
            {"\"list_lag_s\":5.0", "\"list_lag_s\":-5.0", "list_lag_s"},
            {"\"count\":2", "\"count\":0", "count"}
        };
        for (String[] testCase : cases) {
            InvalidSettingsException exception =
                    assertThrows(
                            InvalidSettingsException.class,
                            () -> parse(VALID.replace(testCase[0], testCase[1])));
            assertTrue(exception.getMessage().contains(testCase[2]), exception.getMessage());
        }
    }

    /** The store accepts one second's writes in a burst; a larger transaction never succeeds. */
    @Example
    void limitsTransactionsToTheStoresBurst() throws InvalidSettingsException {
        assertEquals(20, parse(VALID).maxTransactionWrites());
        String rate = "\"write_rps\":25.0";
        assertEquals(6, parse(VALID.replace(rate, "\"write_rps\":6.5")).maxTransactionWrites());
        // A lower rate still allows SharedConstants.MIN_TRANSACTION_WRITES writes.
        assertEquals(4, parse(VALID.replace(rate, "\"write_rps\":3")).maxTransactionWrites());
    }

    /**
     * Each future limit applies from the start if it is stricter than the current one. Absent, null
     * or wider future limits have no effect.
     */
    @Example
    void appliesStricterFutureLimitsFromTheStart() throws InvalidSettingsException {
        String ops = "\"txn_ops\":20";
        Settings settings =
                parse(
                        VALID.replace(
                                ops,
                                ops
                                        + ",\"next\":{\"write_rps\":18.0,"
                                        + "\"value_kb\":2.0,\"txn_ops\":6}"));
        assertEquals(
                List.of(18.0, 200.0),
                List.of(settings.storeWritesPerS(), settings.storeRequestsPerS()));
        assertEquals(
                List.of(2048, 6),
                List.of(settings.maxValueBytes(), settings.maxTransactionWrites()));
        Settings wider =
                parse(
                        VALID.replace(
                                ops,
                                ops
                                        + ",\"next\":{\"write_rps\":180.0,"
                                        + "\"value_kb\":64,\"txn_ops\":60,\"new\":1}"));
        assertEquals(parse(VALID), wider);
        assertEquals(parse(VALID), parse(VALID.replace(ops, ops + ",\"next\":null")));
        // The section "next", and a part of the message.
        String[][] invalid = {
            {"{\"write_rps\":0}", "state.next.write_rps"},
            {"{\"value_kb\":-2}", "state.next.value_kb"},
            {"{\"value_kb\":0.5}", "state.next"},
            {"{\"txn_ops\":3}", "state.next"},
            {"{\"txn_ops\":\"6\"}", "txn_ops"},
            {"7", "next"}
        };
        for (String[] testCase : invalid) {
            InvalidSettingsException exception =
                    assertThrows(
                            InvalidSettingsException.class,
                            () -> parse(VALID.replace(ops, ops + ",\"next\":" + testCase[0])));
            assertTrue(exception.getMessage().contains(testCase[1]), exception.getMessage());
        }
    }

    @Example
    void namesTheFileThePathAndTheProblem() {
        InvalidSettingsException invalidField =
                assertThrows(
                        InvalidSettingsException.class,
                        () -> parse(VALID.replace("\"rps\":5.0", "\"rps\":\"many\"")));
        assertEquals(InvalidSettingsException.Source.SETTINGS, invalidField.source());
        assertEquals("deployment.cloud.rps", invalidField.field());
        assertEquals(
                "settings file: deployment.cloud.rps must be a number; found 'many'",
                invalidField.getMessage());
        InvalidSettingsException invalidElement =
                assertThrows(
                        InvalidSettingsException.class,
                        () -> parse(VALID.replace("127.0.0.2:8081", "here")));
        assertEquals(
                "settings file: members[0].peer_addr must be an address like 10.0.0.1:8080; found"
                        + " 'here'",
                invalidElement.getMessage());
        InvalidSettingsException missingFile =
                assertThrows(
                        InvalidSettingsException.class,
                        () -> Settings.load(Path.of("no-such-file.json")));
        assertEquals(
                "settings file no-such-file.json does not exist; check the path",
                missingFile.getMessage());
        InvalidSettingsException malformed =
                assertThrows(InvalidSettingsException.class, () -> parse("{\n\"zone\" 1}"));
        assertTrue(
                malformed
                        .getMessage()
                        .startsWith("settings file is not valid JSON at line 2, column "),
                malformed.getMessage());
    }
}
