package org.shoreusher.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Checks that all text in a CBOR message is valid UTF-8, as RFC 8949 requires. Jackson's parser
 * accepts halves of surrogate pairs, overlong forms and code points beyond Unicode.
 */
final class CborTextValidator {
    // Major types and additional information of RFC 8949, section 3.
    private static final int MAJOR_TYPE_SHIFT = 5;
    private static final int ADDITIONAL_INFORMATION_MASK = 0x1F;
    private static final int BYTE_STRING = 2;
    private static final int TEXT_STRING = 3;
    private static final int FIRST_FOLLOWING_ARGUMENT = 24;
    private static final int INDEFINITE_LENGTH = 31;

    private final ByteBuffer message;

    private CborTextValidator(byte[] message) {
        this.message = ByteBuffer.wrap(message);
    }

    /**
     * Checks a message that the parser has accepted, item by item in the order of the bytes.
     * Containers need no treatment of their own: their items follow them.
     *
     * @throws IOException if a text, or a chunk of one, is not valid UTF-8
     */
    static void validate(byte[] message) throws IOException {
        CborTextValidator validator = new CborTextValidator(message);
        while (validator.message.hasRemaining()) {
            validator.validateItem();
        }
    }

    private void validateItem() throws IOException {
        int head = Byte.toUnsignedInt(message.get());
        int majorType = head >>> MAJOR_TYPE_SHIFT;
        int information = head & ADDITIONAL_INFORMATION_MASK;
        long argument = readArgument(information);
        boolean isString = majorType == BYTE_STRING || majorType == TEXT_STRING;
        // The chunks of a string of indefinite length follow as strings of their own.
        if (!isString || information == INDEFINITE_LENGTH) {
            return;
        }
        if (argument < 0 || argument > message.remaining()) {
            throw truncated();
        }
        ByteBuffer content = message.slice(message.position(), (int) argument);
        if (majorType == TEXT_STRING && !isAscii(content)) {
            requireUtf8(content);
        }
        message.position(message.position() + (int) argument);
    }

    /** Reads the argument of a head; 0 if the head has none. */
    private long readArgument(int information) throws IOException {
        if (information < FIRST_FOLLOWING_ARGUMENT) {
            return information;
        }
        if (information == INDEFINITE_LENGTH) {
            return 0;
        }
        int length = 1 << (information - FIRST_FOLLOWING_ARGUMENT);
        if (length > message.remaining()) {
            throw truncated();
        }
        long argument = 0;
        for (int i = 0; i < length; i++) {
            argument = argument << Byte.SIZE | Byte.toUnsignedInt(message.get());
        }
        return argument;
    }

    private static boolean isAscii(ByteBuffer content) {
        for (int i = 0; i < content.limit(); i++) {
            if (content.get(i) < 0) {
                return false;
            }
        }
        return true;
    }

    private static void requireUtf8(ByteBuffer content) throws IOException {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(content);
        } catch (CharacterCodingException e) {
            throw new IOException("a text is not valid UTF-8", e);
        }
    }

    private static IOException truncated() {
        return new IOException("the message ends within a value");
    }
}
