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
package org.lupinpaddle.standins;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The faults that a test has set on the platform stand-in.
 *
 * @param down whether every call to the store is refused with status 503
 * @param hang whether calls to the store get no answer, and watches no events, while this is set
 * @param delayMillis the delay of each call to the store
 * @param loseReplies the number of further transactions that take effect without a reply
 * @param listLagMillis the age of the instance list
 * @param instancesDown whether drain, reboot and the list are refused with status 503
 */
record Faults(
        boolean down, boolean hang, long delayMillis, int loseReplies, long listLagMillis, boolean instancesDown) {

    static final Faults NONE = new Faults(false, false, 0, 0, 0, false);

    static Faults of(JsonNode n) {
        return new Faults(
                n.path("down").asBoolean(),
                n.path("hang").asBoolean(),
                n.path("delayMillis").asLong(),
                n.path("loseReplies").asInt(),
                n.path("listLagMillis").asLong(),
                n.path("instancesDown").asBoolean());
    }

    Faults withOneReplyLost() {
        return new Faults(down, hang, delayMillis, loseReplies - 1, listLagMillis, instancesDown);
    }
}
