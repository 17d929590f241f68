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
package org.lupinpaddle.daemon.membership;

/**
 * The registration of an entry in the store, attached to the entry's lease.
 *
 * @param id the entry's name
 * @param hall its data hall
 * @param region the region of the data hall
 * @param peerAddress the address for other entries
 * @param callerAddress the address for callers
 * @param operatorAddress the address for operators
 * @param writeId distinguishes this process from an earlier one with the same name
 */
public record EntryRecord(
        String id,
        String hall,
        String region,
        String peerAddress,
        String callerAddress,
        String operatorAddress,
        String writeId) {}
