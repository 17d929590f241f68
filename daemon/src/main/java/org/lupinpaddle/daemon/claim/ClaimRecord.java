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
package org.lupinpaddle.daemon.claim;

/**
 * The claim of one try on an unsafe job.
 *
 * @param writeId the id of the try that claims
 * @param entry the entry that claimed
 * @param notRun whether the claimant has said that it sent nothing and will send nothing
 */
public record ClaimRecord(String writeId, String entry, boolean notRun) {

    /** Returns the claim given back. */
    public ClaimRecord released() {
        return new ClaimRecord(writeId, entry, true);
    }
}
