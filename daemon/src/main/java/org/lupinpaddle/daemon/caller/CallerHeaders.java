/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.caller;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.UUID;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Urgency;
import org.lupinpaddle.core.request.CallerRequest;

/** Parses the request headers of a caller. */
final class CallerHeaders {

    static final String CLASS = "Lupin-Class";
    static final String DEADLINE = "Lupin-Deadline-Ms";
    static final String REPEATABLE = "Lupin-Repeatable";
    static final String MEMORY = "Lupin-Memory-Mb";
    static final String JOB_ID = "Job-Id";
    static final String REQUEST_ID = "Request-Id";
    static final String VERDICT = "Lupin-Verdict";
    static final String REASON = "Lupin-Reason";
    static final String RETRY_AFTER_MILLIS = "Lupin-Retry-After-Ms";
    static final String PREFIX = "lupin-";

    private static final long MAX_DEADLINE_MILLIS = 86_400_000;
    private static final Pattern ID_PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private CallerHeaders() {}

    /** Returns the request described by the headers, or a message about the first invalid header. */
    static Either<String, CallerRequest> read(String service, HttpFields headers, long now) {
        Optional<Urgency> urgency = Urgency.ofWireName(text(headers, CLASS));
        if (urgency.isEmpty()) {
            return Either.left(CLASS + " must be urgent, normal or may-wait");
        }
        long deadline = number(headers, DEADLINE, -1);
        if (deadline < 1 || deadline > MAX_DEADLINE_MILLIS) {
            return Either.left(DEADLINE + " must be milliseconds from now, 1 to " + MAX_DEADLINE_MILLIS);
        }
        String repeatable = text(headers, REPEATABLE);
        if (!repeatable.equals("true") && !repeatable.equals("false")) {
            return Either.left(REPEATABLE + " must be true or false");
        }
        String jobId = headers.get(JOB_ID);
        String requestId = headers.get(REQUEST_ID);
        if (isInvalidId(jobId) || isInvalidId(requestId)) {
            return Either.left(JOB_ID + " and " + REQUEST_ID + " must be 1 to 128 of A-Z a-z 0-9 . _ : -");
        }
        long memory = number(headers, MEMORY, 0);
        if (memory < 0 || memory > Integer.MAX_VALUE) {
            return Either.left(MEMORY + " must be a whole number of megabytes");
        }
        String id = requestId == null ? UUID.randomUUID().toString() : requestId;
        return Either.right(CallerRequest.builder(id, service)
                .urgency(urgency.get())
                .times(now, now + deadline)
                .repeatable(repeatable.equals("true"))
                .jobId(jobId)
                .memoryMb((int) memory)
                .build());
    }

    private static boolean isInvalidId(@Nullable String s) {
        return s != null && !ID_PATTERN.matcher(s).matches();
    }

    private static String text(HttpFields headers, String name) {
        String value = headers.get(name);
        return value == null ? "" : value;
    }

    private static long number(HttpFields headers, String name, long defaultValue) {
        String value = headers.get(name);
        if (value == null) {
            return defaultValue;
        }
        return value.matches("[0-9]{1,12}") ? Long.parseLong(value) : -1;
    }
}
