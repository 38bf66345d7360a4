package org.shoreusher.wire;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Text that is not valid Unicode. Guards against a message that is accepted but cannot be encoded
 * again, so that a record made from it can never be written.
 */
class MalformedTextTest {
    private static final String PLACEHOLDER = "IMAGE";

    /** Bytes that are not UTF-8, each with the reason. */
    private static final Map<String, String> MALFORMED_TEXTS =
            Map.ofEntries(
                    Map.entry("first half of a surrogate pair", "eda0bd"),
                    Map.entry("second half of a surrogate pair", "edb880"),
                    Map.entry("surrogate pair of two characters", "eda0bdedb880"),
                    Map.entry("overlong form of two bytes", "c0af"),
                    Map.entry("overlong zero", "c080"),
                    Map.entry("overlong form of three bytes", "e080af"),
                    Map.entry("overlong form of four bytes", "f08080af"),
                    Map.entry("beyond the last code point", "f4908080"),
                    Map.entry("far beyond the last code point", "f7bfbfbf"),
                    Map.entry("second byte missing", "c3"),
                    Map.entry("third byte missing", "e282"),
                    Map.entry("wrong second byte of four", "f0288cbc"),
                    Map.entry("continuation without a start", "80"),
                    Map.entry("byte that never occurs", "ff"));

    /** A submission whose image is this text, whatever its bytes. */
    private static byte[] submissionWithImage(byte[] text) {
        byte[] complete =
                FieldMap.toCbor(
                        Map.of("name_id", "wk-1", "plate", PLACEHOLDER, "presses", List.of("a")));
        String hex = HexFormat.of().formatHex(complete);
        return HexFormat.of()
                .parseHex(
                        hex.replace(
                                HexFormat.of()
                                        .formatHex(
                                                cborText(
                                                        PLACEHOLDER.getBytes(
                                                                StandardCharsets.UTF_8))),
                                HexFormat.of().formatHex(cborText(text))));
    }

    /** A CBOR text of less than 256 bytes. */
    private static byte[] cborText(byte[] text) {
        ByteArrayOutputStream encoded = new ByteArrayOutputStream();
        if (text.length < 24) {
            encoded.write(0x60 + text.length);
        } else {
            encoded.write(0x78);
            encoded.write(text.length);
        }
        encoded.writeBytes(text);
        return encoded.toByteArray();
    }

    @Example
    void rejectsEveryKindOfMalformedText() {
        MALFORMED_TEXTS.forEach(
                (reason, hex) ->
                        assertThrows(
                                IOException.class,
                                () ->
                                        FieldMap.parseCbor(
                                                submissionWithImage(HexFormat.of().parseHex(hex))),
                                reason));
    }

    /** Also in names of fields, in lists, in chunks of a text, and in fields that nobody reads. */
    @Example
    void rejectsMalformedTextAnywhere() {
        for (String hex :
                List.of(
                        "a163eda0bd6161",
                        "a161618163eda0bd",
                        "a16161a1616263eda0bd",
                        "a161617f63eda0bdff",
                        "a161617f62f09f629880ff",
                        "bf616163eda0bdff",
                        "a161619f63eda0bdff",
                        "a26161616261" + "6363eda0bd")) {
            assertThrows(
                    IOException.class, () -> FieldMap.parseCbor(HexFormat.of().parseHex(hex)), hex);
        }
    }

    @Example
    void acceptsTextInChunksAndBeyondTheFirstPlane() throws IOException {
        assertEquals(
                Map.of("a", "x\u20ac\ud83d\ude00"),
                FieldMap.parseCbor(HexFormat.of().parseHex("a161617f617863e282ac64f09f9880ff"))
                        .asMap());
    }

    @Provide
    Arbitrary<byte[]> texts() {
        Arbitrary<Byte> anyByte = Arbitraries.bytes();
        Arbitrary<Byte> bytesOfCharacters =
                Arbitraries.of(
                                0x41, 0x80, 0x9F, 0xA0, 0xBD, 0xBF, 0xC0, 0xC3, 0xE0, 0xE2, 0xED,
                                0xF0, 0xF4, 0xF5)
                        .map(Integer::byteValue);
        return Arbitraries.oneOf(
                anyByte.array(byte[].class).ofMaxSize(6),
                bytesOfCharacters.array(byte[].class).ofMaxSize(6),
                bytesOfCharacters.array(byte[].class).ofMinSize(24).ofMaxSize(60),
                Arbitraries.strings()
                        .ofMaxLength(30)
                        .map(text -> text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Exactly the texts that the strict decoder of the JDK accepts are accepted, unchanged. */
    @Property(tries = 2_000, seed = "41")
    void acceptsExactlyValidUtf8(@ForAll("texts") byte[] text) throws IOException {
        byte[] submission = submissionWithImage(text);
        String expected;
        try {
            expected = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(text)).toString();
        } catch (CharacterCodingException malformed) {
            assertThrows(IOException.class, () -> FieldMap.parseCbor(submission));
            return;
        }
        assertEquals(expected, FieldMap.parseCbor(submission).asMap().get("plate"));
    }

    /** Every message that is decoded can be encoded again, whichever byte of it was corrupted. */
    @Property(tries = 2_000, seed = "42")
    void decodedMessagesCanBeEncoded(
            @ForAll("texts") byte[] text, @ForAll int position, @ForAll byte value) {
        byte[] submission = submissionWithImage(text);
        submission[Math.floorMod(position, submission.length)] = value;
        Map<String, Object> decoded;
        try {
            decoded = FieldMap.parseCbor(submission).asMap();
        } catch (IOException rejected) {
            return;
        }
        assertTrue(FieldMap.toCbor(decoded).length > 0);
        assertTrue(FieldMap.jsonLength(decoded) > 0);
    }

    /** An escape sequence in a settings or features file can name half a surrogate pair. */
    @Example
    void rejectsHalfASurrogatePairInFiles() {
        for (String half : List.of("\\ud83d", "\\ude00", "\\ud83dx", "\\ude00\\ud83d")) {
            byte[] json = ("{\"host_name\":\"" + half + "\"}").getBytes(StandardCharsets.UTF_8);
            assertThrows(IOException.class, () -> FieldMap.parseJson(json), half);
            byte[] name = ("{\"" + half + "\":1}").getBytes(StandardCharsets.UTF_8);
            assertThrows(IOException.class, () -> FieldMap.parseJson(name), half);
        }
        assertThrows(
                IOException.class,
                () -> FieldMap.parseToml("a = \"\\uD83D\"".getBytes(StandardCharsets.UTF_8)));
        assertDoesNotThrow(
                () ->
                        FieldMap.parseJson(
                                "{\"a\":\"\\ud83d\\ude00\"}".getBytes(StandardCharsets.UTF_8)));
    }
}
