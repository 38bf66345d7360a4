package org.shoreusher.user;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import org.shoreusher.core.message.Command;
import org.shoreusher.core.message.JobSpec;
import org.shoreusher.wire.FieldMap;
import org.shoreusher.wire.JobSpecFormat;
import org.shoreusher.wire.WorkerFormat;

/** Decodes HTTP requests into commands by method and path. */
final class RequestDecoder {
    private static final String JOBS_PATH = "/v2/runs";
    private static final String JOB_PREFIX = JOBS_PATH + "/";
    private static final String CANCEL_SUFFIX = "/cancel";
    private static final String HEARTBEAT_PATH = "/hello";
    private static final String READINESS_PATH = "/ready";

    private static final String ENDPOINTS =
            String.format(
                    "POST %2$s, GET %2$s/ID, POST %2$s/ID%3$s, POST %1$s and GET %4$s",
                    HEARTBEAT_PATH, JOBS_PATH, CANCEL_SUFFIX, READINESS_PATH);

    private RequestDecoder() {}

    /** Whether only users request this path. */
    static boolean isForUsers(String path) {
        return path.startsWith(JOBS_PATH);
    }

    /** Whether workers send their heartbeats to this path. */
    static boolean isHeartbeat(String path) {
        return path.equals(HEARTBEAT_PATH);
    }

    /**
     * Decodes a request. An invalid submission is passed to the core as a command with the error;
     * any other invalid request is rejected here.
     *
     * @throws RejectedRequestException for an unknown path or method, or a malformed heartbeat
     */
    static Command decode(long requestId, FullHttpRequest request) throws RejectedRequestException {
        String path = request.uri();
        if (request.method().equals(HttpMethod.POST)) {
            if (path.equals(HEARTBEAT_PATH)) {
                return heartbeat(requestId, request.content());
            }
            if (path.equals(JOBS_PATH)) {
                return submission(requestId, request.content());
            }
            if (path.startsWith(JOB_PREFIX) && path.endsWith(CANCEL_SUFFIX)) {
                return new Command.Cancel(
                        requestId,
                        path.substring(
                                JOB_PREFIX.length(), path.length() - CANCEL_SUFFIX.length()));
            }
        } else if (request.method().equals(HttpMethod.GET)) {
            if (path.startsWith(JOB_PREFIX)) {
                return new Command.Poll(requestId, path.substring(JOB_PREFIX.length()));
            }
            if (path.equals(READINESS_PATH)) {
                return new Command.ReadinessCheck(requestId);
            }
        }
        throw new RejectedRequestException(
                isKnownPath(path)
                        ? HttpResponseStatus.METHOD_NOT_ALLOWED
                        : HttpResponseStatus.NOT_FOUND,
                request.method() + " " + path + " is not supported; allowed are " + ENDPOINTS);
    }

    private static boolean isKnownPath(String path) {
        return path.equals(JOBS_PATH) || path.equals(HEARTBEAT_PATH) || path.equals(READINESS_PATH);
    }

    private static Command heartbeat(long requestId, ByteBuf body) throws RejectedRequestException {
        try {
            return new Command.Heartbeat(
                    requestId, WorkerFormat.readHeartbeat(FieldMap.parseCbor(bytes(body))));
        } catch (IOException | FieldMap.InvalidFieldException e) {
            throw new RejectedRequestException(
                    HttpResponseStatus.BAD_REQUEST, "invalid heartbeat: " + e.getMessage());
        }
    }

    private static Command submission(long requestId, ByteBuf body) {
        String jobId = null;
        try {
            FieldMap fields = FieldMap.parseCbor(bytes(body));
            jobId = JobSpecFormat.readJobIdOrNull(fields);
            JobSpec spec = JobSpecFormat.readSubmission(fields);
            return new Command.Submit(requestId, jobId, spec, /* validationError= */ null);
        } catch (IOException e) {
            return new Command.Submit(
                    requestId,
                    /* jobId= */ null,
                    /* spec= */ null,
                    "the request body must be exactly one CBOR map");
        } catch (FieldMap.InvalidFieldException e) {
            return new Command.Submit(requestId, jobId, /* spec= */ null, e.getMessage());
        }
    }

    private static byte[] bytes(ByteBuf buffer) {
        return ByteBufUtil.getBytes(buffer);
    }
}
