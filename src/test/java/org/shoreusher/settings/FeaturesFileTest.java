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

/** The features file. */
class FeaturesFileTest {
    private static Features parse(String text) throws InvalidSettingsException {
        Settings settings =
                SettingsTest.parse(SettingsTest.VALID.replace("guarantee\"", OBJECTIVE_WITH_CLASS));
        return FeaturesFile.parse(text.getBytes(StandardCharsets.UTF_8), settings);
    }

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

    /** Files that are rejected, and the message for each. */
    private static final String[][] REJECTED = {
        {"[balanse]", "features: balanse is unknown; allowed are [balance, standby]"},
        {"balance = 3", "features: balance must be a section"},
        {"[balance]\nenabled = 1", "features: balance.enabled must be true or false"},
        {
            "[balance]\nspread_margin = 0.01",
            "features: balance.spread_margin must be a number from 0.05 to 1"
        },
        {
            "[balance]\nspread_margin = \"wide\"",
            "features: balance.spread_margin must be a number from 0.05 to 1"
        },
        {
            "[balance]\nspread_margin = nan",
            "features: balance.spread_margin must be a number from 0.05 to 1"
        },
        {
            "[balance]\nmoves_at_once = 2.5",
            "features: balance.moves_at_once must be a whole number from 0 to 1000"
        },
        {
            "[balance]\nmoves_per_task = -1",
            "features: balance.moves_per_task must be a whole number from 0 to 10"
        },
        {
            "[balance.classes.rush]\nrepeated_share = 1.5",
            "features: balance.classes.rush.repeated_share must be a number from 0 to 1"
        },
        {
            "[balance.classes.other]",
            "features: balance.classes.other is no class of this deployment;"
                    + " allowed are [rush]"
        },
        {
            "[balance.classes.rush]\nmoves = 1",
            "features: balance.classes.rush.moves is unknown;"
                    + " allowed are [moves_per_task, repeated_share]"
        },
        {"standby = 1", "features: standby must be a section"},
        {
            "[standby]\nack_timeout_ms = 4000",
            "features: standby.ack_timeout_ms must be a whole number from 500 to 3000"
        },
        {
            "[standby]\nhead_start_ms = 1.5",
            "features: standby.head_start_ms must be a whole number from 0 to 5000"
        },
        {
            "[standby]\nframe_records = 1",
            "features: standby.frame_records must be a whole number from 2 to 500"
        },
        {
            "[standby]\nmost_attempts = \"many\"",
            "features: standby.most_attempts must be a whole number from 0 to 1000000"
        },
        {
            "[standby]\nreplicas = 2",
            "features: standby.replicas is unknown; allowed are"
                    + " [enabled, ack_timeout_ms, head_start_ms, frame_records,"
                    + " most_attempts]"
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
