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

/**
 * Limits retries to a fraction of new requests, so that retries cannot multiply a load that already overloads the
 * workers. It is a token bucket: each new request adds a fraction of a token, and each retry takes a whole one; see
 * "Handling Overload" in Site Reliability Engineering (Beyer et al., 2016).
 */
public final class RetryBudget {

    private static final double TOKENS_PER_REQUEST = 0.1;
    // Allows an idle entry to retry its requests past a single faulty worker.
    private static final double MAX_TOKENS = 20;

    private double tokens = MAX_TOKENS;

    /** Adds the tokens for a new request. */
    public void onNewRequest() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /** Takes a token for a retry; returns false if none is available. */
    public boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
