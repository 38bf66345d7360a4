package org.shoreusher.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.shoreusher.settings.InvalidSettingsException.Source;

/** Reads the files that operators provide, and creates the errors that concern a whole file. */
final class OperatorFile {
    private OperatorFile() {}

    /** The bytes of a file. */
    static byte[] read(Source source, Path file) throws InvalidSettingsException {
        try {
            return Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            throw InvalidSettingsException.ofFile(source, file + " does not exist; check the path");
        } catch (AccessDeniedException e) {
            throw InvalidSettingsException.ofFile(
                    source,
                    file
                            + " cannot be read: permission denied; make it readable for the user"
                            + " that runs the controller");
        } catch (IOException e) {
            throw InvalidSettingsException.ofFile(
                    source, file + " cannot be read: " + e.getMessage());
        }
    }

    /** The error for a syntactically invalid file, with the position if the parser reports it. */
    static InvalidSettingsException malformed(Source source, String format, IOException cause) {
        String position = "";
        String problem = cause.getMessage();
        if (cause instanceof JsonProcessingException parseError) {
            JsonLocation location = parseError.getLocation();
            problem = parseError.getOriginalMessage();
            position =
                    location == null
                            ? ""
                            : " at line "
                                    + location.getLineNr()
                                    + ", column "
                                    + location.getColumnNr();
        }
        return InvalidSettingsException.ofFile(
                source,
                "is not valid "
                        + format
                        + position
                        + ": "
                        + String.valueOf(problem).lines().findFirst().orElse(""));
    }
}
