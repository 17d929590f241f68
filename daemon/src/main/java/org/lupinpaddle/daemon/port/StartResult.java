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
package org.lupinpaddle.daemon.port;

import java.util.OptionalLong;
import org.lupinpaddle.core.run.OrderOutcome;

/**
 * The result of a start order.
 *
 * @param outcome the outcome
 * @param clockMillis the worker's clock as stated by the answer; empty if there is no answer or it states none
 */
public record StartResult(OrderOutcome outcome, OptionalLong clockMillis) {

    /** Returns the result of a start whose answer states no clock. */
    public static StartResult withoutClock(OrderOutcome outcome) {
        return new StartResult(outcome, OptionalLong.empty());
    }
}
