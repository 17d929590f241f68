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

import org.eclipse.jetty.http.HttpFields;
import org.lupinpaddle.core.request.AttemptOutcome;

/**
 * The result of one attempt on a worker.
 *
 * @param outcome how the attempt ended
 * @param status the worker's HTTP status, or 0 if there is no response to forward
 * @param headers the response headers
 * @param body the complete response body, or an empty array
 */
record WorkerResponse(AttemptOutcome outcome, int status, HttpFields headers, byte[] body) {

    private static final byte[] EMPTY_BODY = new byte[0];

    static WorkerResponse withoutBody(AttemptOutcome outcome) {
        return new WorkerResponse(outcome, 0, HttpFields.EMPTY, EMPTY_BODY);
    }
}
