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
package org.lupinpaddle.core.instance;

import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A group of some dozens of instances stored under one key: few enough that a change rewrites little, enough
 * that a range read of the fleet returns few records.
 *
 * @param instances the instances by id
 * @param writeId the id of the write that made this value; identifies the writer's own write after a lost reply
 */
public record ShardRecord(SortedMap<String, InstanceRecord> instances, String writeId) {

    /** A shard without instances. */
    public static final ShardRecord EMPTY = new ShardRecord(new TreeMap<>(), "");

    /** Returns this shard with the instance added or replaced. */
    public ShardRecord with(InstanceRecord instance, String newWriteId) {
        SortedMap<String, InstanceRecord> all = new TreeMap<>(instances);
        all.put(instance.id(), instance);
        return new ShardRecord(all, newWriteId);
    }
}
