package org.shoreusher.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import net.jqwik.api.Example;
import org.shoreusher.balance.BalanceSettings;
import org.shoreusher.balance.BalanceSettings.ClassBudget;
import org.shoreusher.standby.StandbySettings;

/** Reading and validation of the features file. */
class FeaturesFileTest {
    private static Features parse(String text) throws InvalidSettingsException {
        Settings settings =
                SettingsTest.parse(SettingsTest.VALID.replace("guarantee\"", OBJECTIVE_WITH_CLASS));
        return FeaturesFile.parse(text.getBytes(StandardCharsets.UTF_8), settings);
    }

    /** Replaces the kind of the only objective, so that {@code rush} is a known job class. */
    private static final String OBJECTIVE_WITH_CLASS = "finished\",\"class\":\"rush\"";

    @Example
    void featureIsOffWithoutItsSection() throws InvalidSettingsException {
        assertEquals(Features.NONE, parse(""));
        assertNull(parse("[balance]\nenabled = false\nspread_margin = 0.5").balance());
        assertEquals(BalanceSettings.DEFAULTS, parse("[balance]").balance());
    }

    @Example
    void readsEverySetting() throws InvalidSettingsException {
        BalanceSettings balance =
                parse(
                                """
                                [balance]
                                enabled = true
                                spread_margin = 1
                                hysteresis = 0.1
                                hot_share = 0.5
                                moves_at_once = 20
                                moves_per_team = 10
                                moves_per_zone = 7
                                cooldown_s = 0
                                least_gain = 3.5
                                moves_per_task = 2
                                repeated_share = 0.0
                                [balance.classes.rush]
                                moves_per_task = 0
                                """)
                        .balance();
        assertEquals(
                new BalanceSettings(
                        1,
                        0.1,
                        0.5,
                        20,
                        10,
                        7,
                        0,
                        3.5,
                        new ClassBudget(2, 0),
                        // A class does not inherit repeated_share from the section: the default
                        // applies.
                        Map.of("rush", new ClassBudget(0, 0.02))),
                balance);
    }

    @Example
    void readsTheStandbySettings() throws InvalidSettingsException {
        assertNull(parse("[standby]\nenabled = false").standby());
        assertEquals(StandbySettings.DEFAULTS, parse("[standby]").standby());
        assertEquals(
                new StandbySettings(500, 0, 20, 7),
                parse(
                                """
                                [standby]
                                ack_timeout_ms = 500
                                head_start_ms = 0
                                frame_records = 20
                                most_attempts = 7
                                """)
                        .standby());
    }

    /** Contents of files that are rejected, and the message for each. */
    private static final String[][] REJECTED = {
        {
            "[balanse]",
            "features file: balanse is not a known key;"
                    + " remove it or use one of [balance, standby]"
        },
        {"balance = 3", "features file: balance must be a section; found 3"},
        {"[balance]\nenabled = 1", "features file: balance.enabled must be true or false; found 1"},
        {
            "[balance]\nspread_margin = 0.01",
            "features file: balance.spread_margin must be a number from 0.05 to 1; found 0.01"
        },
        {
            "[balance]\nspread_margin = \"wide\"",
            "features file: balance.spread_margin must be a number from 0.05 to 1; found 'wide'"
        },
        {
            "[balance]\nspread_margin = nan",
            "features file: balance.spread_margin must be a number from 0.05 to 1; found NaN"
        },
        {
            "[balance]\nmoves_at_once = 2.5",
            "features file: balance.moves_at_once must be a whole number from 0 to 1000; found 2.5"
        },
        {
            "[balance]\nmoves_per_task = -1",
            "features file: balance.moves_per_task must be a whole number from 0 to 10; found -1"
        },
        {
            "[balance.classes.rush]\nrepeated_share = 1.5",
            "features file: balance.classes.rush.repeated_share must be a number from 0 to 1; found"
                    + " 1.5"
        },
        {
            "[balance.classes.other]",
            "features file: balance.classes.other is not a job class of an objective in the"
                    + " settings file; allowed are [rush]"
        },
        {
            "[balance.classes.rush]\nmoves = 1",
            "features file: balance.classes.rush.moves is not a known key;"
                    + " remove it or use one of [moves_per_task, repeated_share]"
        },
        {"standby = 1", "features file: standby must be a section; found 1"},
        {
            "[standby]\nack_timeout_ms = 4000",
            "features file: standby.ack_timeout_ms must be a whole number from 500 to 3000; found"
                    + " 4000"
        },
        {
            "[standby]\nhead_start_ms = 1.5",
            "features file: standby.head_start_ms must be a whole number from 0 to 5000; found 1.5"
        },
        {
            "[standby]\nframe_records = 1",
            "features file: standby.frame_records must be a whole number from 2 to 500; found 1"
        },
        {
            "[standby]\nmost_attempts = \"many\"",
            "features file: standby.most_attempts must be a whole number from 0 to 1000000; found"
                    + " 'many'"
        },
        {
            "[standby]\nreplicas = 2",
            "features file: standby.replicas is not a known key; remove it or use one of [enabled,"
                    + " ack_timeout_ms, head_start_ms, frame_records, most_attempts]"
        }
    };

    @Example
    void namesTheInvalidSettingAndTheAllowedValues() {
        for (String[] testCase : REJECTED) {
            InvalidSettingsException exception =
                    assertThrows(
                            InvalidSettingsException.class, () -> parse(testCase[0]), testCase[0]);
            assertEquals(testCase[1], exception.getMessage());
        }
        InvalidSettingsException exception =
                assertThrows(InvalidSettingsException.class, () -> parse("[balance"));
        assertEquals(1, exception.getMessage().lines().count());
    }
}
