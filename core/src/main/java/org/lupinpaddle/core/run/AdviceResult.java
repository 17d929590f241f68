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
package org.lupinpaddle.core.run;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * How a call to the advice service ended.
 *
 * @param outcome whether the service answered
 * @param response the advice; null unless the service answered
 */
public record AdviceResult(Outcome outcome, @Nullable AdviceResponse response) {

    /** The kinds of ends of a call. */
    public enum Outcome {
        /** The service advised. */
        ANSWERED,
        /** The service refused the call and does not process it. */
        REJECTED,
        /** No answer was received; the service may still be processing the call. */
        UNANSWERED
    }

    /** Returns the result of a call that was answered with advice. */
    public static AdviceResult answered(Map<String, String> ticketByWorker, long validMillis) {
        return new AdviceResult(Outcome.ANSWERED, new AdviceResponse(ticketByWorker, validMillis));
    }

    /** Returns the result of a call without advice. */
    public static AdviceResult none(Outcome outcome) {
        return new AdviceResult(outcome, null);
    }
}
