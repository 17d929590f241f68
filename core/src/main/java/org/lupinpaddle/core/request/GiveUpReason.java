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
package org.lupinpaddle.core.request;

/** The reason why a request is answered without a worker's response, with the HTTP status for it. */
public enum GiveUpReason {
    /** The entry has no configuration yet, or is shutting down. */
    NOT_SERVING("not-serving", 503, 1_000),
    /** No service has this name. */
    UNKNOWN_SERVICE("unknown-service", 404, 0),
    /** The queue is full. */
    SHED("shed", 503, 2_000),
    /** The request is not expected to start before its deadline. */
    HOPELESS("hopeless", 503, 5_000),
    /** The entry can reach no worker of the service. */
    CUT_OFF("cut-off", 503, 3_000),
    /** No worker is large enough for the declared memory need. */
    TOO_LARGE("too-large", 422, 0),
    /** The request failed on several workers that run other requests successfully. */
    CAN_NOT_RUN("can-not-run", 422, 0),
    /** The deadline passed. */
    EXPIRED("expired", 504, 1_000),
    /** The caller disconnected. */
    CANCELLED("cancelled", 499, 0),
    /** The platform's store is unavailable, so the claim for a job that must not run twice cannot be acquired. */
    STORE_AWAY("store-away", 503, 5_000),
    /** Another request with the same job id holds the claim. */
    CLAIMED("claimed", 409, 0),
    /** Workers refused or failed the request, and no retry is allowed within the budget. */
    NO_RETRY("no-retry", 503, 2_000),
    /** The connection to the worker broke after the request may have started. */
    BROKEN("broken", 502, 0);

    private final String wireName;
    private final int status;
    private final long retryAfterMillis;

    GiveUpReason(String wireName, int status, long retryAfterMillis) {
        this.wireName = wireName;
        this.status = status;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns the name used in headers and logs. */
    public String wireName() {
        return wireName;
    }

    /** Returns the HTTP status of the answer. */
    public int status() {
        return status;
    }

    /** Returns the delay after which the caller may retry, in milliseconds; 0 if a retry cannot succeed. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
