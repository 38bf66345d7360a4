package org.shoreusher.cli;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;
import org.shoreusher.settings.Settings;

/** The checks that the build runs against a service, with a whole controller over loopback. */
class ControllerSmokeCheckTest {
    @Example
    void serviceRecoversFromAMachineLossAndEndsWhenCancelled() throws Exception {
        try (ControllerSmokeCheck smokeCheck = new ControllerSmokeCheck()) {
            byte[] file = smokeCheck.settingsJson().getBytes(StandardCharsets.UTF_8);
            RunningController.runDuring(Settings.parse(file), smokeCheck::run);
        }
    }
}
