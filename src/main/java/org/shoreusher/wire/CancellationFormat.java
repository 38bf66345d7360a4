package org.shoreusher.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shoreusher.core.message.CancellationMessage;
import org.shoreusher.core.message.CancellationMessage.CancellationAcknowledgement;
import org.shoreusher.core.message.CancellationMessage.CancellationNotice;

/** The format of the messages between controllers about the cancellation of a job. */
public final class CancellationFormat {
    private static final String JOB_ID = "job";
    private static final String SENDER_HOST = "sender";
    private static final String RECORD = "record";
    private static final String VERSION = "version";
    private static final String LED_SHARDS = "parts";

    private CancellationFormat() {}

    /** Encodes a message. */
    public static byte[] encode(CancellationMessage message) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(JOB_ID, message.jobId());
        if (message instanceof CancellationNotice notice) {
            fields.put(SENDER_HOST, notice.senderHost());
            fields.put(RECORD, notice.record());
            fields.put(VERSION, notice.version());
        } else if (message instanceof CancellationAcknowledgement acknowledgement) {
            fields.put(LED_SHARDS, acknowledgement.ledShards());
        }
        return FieldMap.toCbor(fields);
    }

    /**
     * Decodes a message.
     *
     * @throws IOException if the bytes are not a valid message
     */
    public static CancellationMessage decode(byte[] bytes) throws IOException {
        FieldMap fields = FieldMap.parseCbor(bytes);
        try {
            String jobId = fields.text(JOB_ID);
            if (fields.has(LED_SHARDS)) {
                return new CancellationAcknowledgement(jobId, shardNumbers(fields));
            }
            return new CancellationNotice(
                    fields.text(SENDER_HOST),
                    jobId,
                    fields.map(RECORD).asMap(),
                    fields.integer(VERSION));
        } catch (FieldMap.InvalidFieldException invalid) {
            throw new IOException("invalid message about a cancellation", invalid);
        }
    }

    private static List<Integer> shardNumbers(FieldMap fields) throws IOException {
        if (!(fields.asMap().get(LED_SHARDS) instanceof List<?> values)) {
            throw new IOException(LED_SHARDS + " must be a list");
        }
        List<Integer> shardNumbers = new ArrayList<>();
        for (Object value : values) {
            if (!(value instanceof Number number)) {
                throw new IOException(LED_SHARDS + " must contain numbers only");
            }
            shardNumbers.add(number.intValue());
        }
        return shardNumbers;
    }
}
